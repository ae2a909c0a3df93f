package tulipshed.proxy;

import java.net.InetSocketAddress;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.EndpointStatus;

/** One pool member as the list last told of it. */
public final class Endpoint {
    private final String id;
    private InetSocketAddress address;
    private EndpointStatus state = EndpointStatus.REMOVED;
    private EndpointInfo entry;

    Endpoint(String id) {
        this.id = id;
    }

    void update(EndpointInfo entry, InetSocketAddress address) {
        this.entry = entry;
        state = entry.status();
        this.address = address;
    }

    void gone() {
        state = EndpointStatus.REMOVED;
    }

    public String id() {
        return id;
    }

    /** Where it listens for this node. */
    public InetSocketAddress address() {
        return address;
    }

    /** Whether the list last named it as serving. */
    public boolean isServing() {
        return state == EndpointStatus.SERVING;
    }

    /** What the list last told of it; null where it never did. */
    EndpointInfo entry() {
        return entry;
    }

    /** Whether the list names it, serving or draining. */
    boolean listed() {
        return state != EndpointStatus.REMOVED;
    }
}
