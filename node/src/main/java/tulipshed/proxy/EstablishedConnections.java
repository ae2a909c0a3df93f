package tulipshed.proxy;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The connections that are established through this process, oldest first; published to the other process of a hot
 * restart where there is one. Confined to the event-loop thread.
 */
final class EstablishedConnections {
    private final Set<Request> requests = new LinkedHashSet<>();
    /** Null before {@link #setHotRestartPeer}: nothing is published then. */
    private HotRestartPeer hotRestartPeer;

    /** Publishes connections from now on to the other process of this node. */
    void setHotRestartPeer(HotRestartPeer peer) {
        hotRestartPeer = peer;
    }

    /** Adds a connection that was just established at the endpoint. */
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

    /** The connection established first among those that are left. */
    Optional<Request> oldest() {
        return requests.stream().findFirst();
    }

    /** How many connections are established. */
    int size() {
        return requests.size();
    }
}
