package tulipshed.proxy;

import java.net.InetSocketAddress;
import tulipshed.decision.BalancerApi.ServerEntry;
import tulipshed.decision.BalancerApi.ServerState;

/** One pool member as the list last told of it. */
public final class PoolMember {
    private final String id;
    private InetSocketAddress address;
    private ServerState state = ServerState.GONE;
    private ServerEntry entry;

    PoolMember(String id) {
        this.id = id;
    }

    void update(ServerEntry entry, InetSocketAddress address) {
        this.entry = entry;
        state = entry.state();
        this.address = address;
    }

    void gone() {
        state = ServerState.GONE;
    }

    public String id() {
        return id;
    }

    /** Where it listens for this node. */
    public InetSocketAddress address() {
        return address;
    }

    /** Whether the list last named it as serving. */
    public boolean serving() {
        return state == ServerState.SERVING;
    }

    /** What the list last told of it; null where it never did. */
    ServerEntry entry() {
        return entry;
    }

    /** Whether the list names it, serving or draining. */
    boolean listed() {
        return state != ServerState.GONE;
    }
}
