package tulipshed.proxy;

import java.net.InetSocketAddress;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;

/** An endpoint as the endpoint list last described it. Confined to the event-loop thread. */
public final class Endpoint {
    private final String id;
    private InetSocketAddress address;
    private EndpointStatus status = EndpointStatus.REMOVED;
    private EndpointInfo info;

    /** An endpoint that no list has named yet. */
    Endpoint(String id) {
        this.id = id;
    }

    /** Takes over what the list says; the address is null where it is not known. */
    void update(EndpointInfo listed, InetSocketAddress listedAddress) {
        info = listed;
        status = listed.status();
        address = listedAddress;
    }

    /** The list names this endpoint no more; connections to it may still be open. */
    void markRemoved() {
        status = EndpointStatus.REMOVED;
    }

    /** The id by which the list names this endpoint. */
    public String id() {
        return id;
    }

    /** Where the endpoint accepts connections of this node; null where that is not known. */
    public InetSocketAddress address() {
        return address;
    }

    /** Whether the list last named the endpoint as serving. */
    public boolean isServing() {
        return status == EndpointStatus.SERVING;
    }

    /** Whether a new connection can be opened: the endpoint is serving, and its address is known. */
    boolean isAvailable() {
        return isServing() && address != null;
    }

    /** What the list last said of the endpoint; null where no list has named it. */
    EndpointInfo info() {
        return info;
    }

    /** Whether the list names the endpoint, serving or draining. */
    boolean isListed() {
        return status != EndpointStatus.REMOVED;
    }
}
