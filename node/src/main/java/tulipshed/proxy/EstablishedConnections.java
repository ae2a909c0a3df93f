package tulipshed.proxy;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The connections established through this process, oldest first. They are published to the other process of a hot restart
 * if there is one. Confined to the event-loop thread.
 */
final class EstablishedConnections {
    private final Set<Request> requests = new LinkedHashSet<>();
    /** Null before {@link #setHotRestartPeer}; nothing is published until then. */
    private HotRestartPeer hotRestartPeer;

    /** Sets the other process of this node; connections added from now on are published to it. */
    void setHotRestartPeer(HotRestartPeer peer) {
        hotRestartPeer = peer;
    }

    /** Adds a connection that has been established at the endpoint. */
    void add(Request request, Endpoint endpoint) {
        requests.add(request);
        if (hotRestartPeer != null) {
            request.setHotRestartSlot(hotRestartPeer.connectionEstablished(publishedForm(request, endpoint)));
        }
    }

    private static HotRestartPeer.EstablishedConnection publishedForm(Request request, Endpoint endpoint) {
        RequestParameters parameters = request.parameters();
        return new HotRestartPeer.EstablishedConnection(endpoint.id(), parameters.group(), parameters.loadHintUsPerS());
    }

    /** Removes a connection that ended. */
    void remove(Request request) {
        requests.remove(request);
        if (request.hasHotRestartSlot()) {
            hotRestartPeer.connectionEnded(request.hotRestartSlot());
        }
    }

    /** The oldest connection, if there is any. */
    Optional<Request> oldest() {
        return requests.stream().findFirst();
    }

    /** The number of established connections. */
    int size() {
        return requests.size();
    }
}
