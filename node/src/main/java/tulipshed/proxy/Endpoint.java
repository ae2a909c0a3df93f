package tulipshed.proxy;

import java.net.InetSocketAddress;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;

/** An endpoint as described by the latest endpoint list. Confined to the event-loop thread. */
public final class Endpoint {
    private final String id;
    private InetSocketAddress address;
    private EndpointStatus status = EndpointStatus.REMOVED;
    private EndpointInfo info;

    /** Creates an endpoint that no list has contained yet. */
    Endpoint(String id) {
        this.id = id;
    }

    /** Applies the description from the list; the address is null if it is not known. */
    void update(EndpointInfo listed, InetSocketAddress listedAddress) {
        info = listed;
        status = listed.status();
        address = listedAddress;
    }

    /** Records that the endpoint is no longer listed; connections to it may still be open. */
    void markRemoved() {
        status = EndpointStatus.REMOVED;
    }

    /** The id of this endpoint in the list. */
    public String id() {
        return id;
    }

    /** The address at which the endpoint accepts connections from this node; null if it is not known. */
    public InetSocketAddress address() {
        return address;
    }

    /** Whether the endpoint is listed as serving. */
    public boolean isServing() {
        return status == EndpointStatus.SERVING;
    }

    /** Whether a new connection can be opened: the endpoint is serving, and its address is known. */
    boolean isAvailable() {
        return isServing() && address != null;
    }

    /** The latest description of the endpoint in the list; null if no list has contained it. */
    EndpointInfo info() {
        return info;
    }

    /** Whether the endpoint is listed, as serving or draining. */
    boolean isListed() {
        return status != EndpointStatus.REMOVED;
    }
}
