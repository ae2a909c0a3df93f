package tulipshed.discovery;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tulipshed.decision.api.EndpointStatus;

/**
 * The full endpoint list as this process knows it, assembled from full lists and changes. Confined to the event-loop
 * thread.
 */
final class KnownEndpointList {
    private final Map<String, ListedEndpoint> endpointsById = new LinkedHashMap<>();
    private long version;
    private boolean isReceived;
    private long revision;

    /**
     * Applies a full list or changes.
     *
     * @param received whether discovery delivered the update to a process of this node since that process started, so
     *     that it is more than a list of the configuration
     */
    void apply(EndpointListUpdate update, boolean received) {
        if (update.full()) {
            endpointsById.clear();
        }
        for (ListedEndpoint endpoint : update.entries()) {
            if (endpoint.status() == EndpointStatus.REMOVED) {
                endpointsById.remove(endpoint.id());
            } else {
                endpointsById.put(endpoint.id(), endpoint);
            }
        }
        if (version != update.version() || !update.entries().isEmpty() || isReceived != received) {
            revision++;
        }
        version = update.version();
        isReceived = received;
    }

    /** Returns a number that increases with each change of the list; 0 if there is no list. */
    long revision() {
        return revision;
    }

    /**
     * Returns whether a list of the other process is newer than this one. The versions of two discovery services cannot
     * be compared; a list that one of them delivered then counts as newer than one of the configuration.
     *
     * @param discovery the discovery service that numbers the versions of this list
     */
    boolean isOlderThan(SharedEndpointList peerList, InetSocketAddress discovery) {
        return peerList.isFrom(discovery) ? peerList.list().version() > version : peerList.isReceived() && !isReceived;
    }

    /** Returns the full list, for the other process. */
    SharedEndpointList toShared(InetSocketAddress discovery) {
        EndpointListUpdate list = new EndpointListUpdate(version, true, List.copyOf(endpointsById.values()));
        return new SharedEndpointList(SharedEndpointListFormat.addressText(discovery), isReceived, list);
    }
}
