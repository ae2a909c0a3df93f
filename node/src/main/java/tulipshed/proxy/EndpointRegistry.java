package tulipshed.proxy;

import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;

/**
 * The endpoints that a list has contained or a decision has named, including removed ones to which connections may still be
 * open. Confined to the event-loop thread.
 */
final class EndpointRegistry {
    /** The number of listed and removed endpoints that may always be retained, however short the list is. */
    private static final int MIN_RETAINED = 64;

    /** The number of endpoints, listed and removed, retained per listed endpoint; applied when the bound is recomputed. */
    private static final int MAX_RETAINED_PER_LISTED = 2;

    /** All retained endpoints, oldest first. */
    private final Map<String, Endpoint> endpointsById = new LinkedHashMap<>();

    private int maxRetained = MIN_RETAINED;
    private boolean listReceived;

    /** Applies an update of the list. */
    void update(EndpointListKind kind, List<EndpointListEntry> entries) {
        listReceived |= kind == EndpointListKind.COMPLETE || kind == EndpointListKind.CHANGES;
        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.CACHED) {
            removeUnlisted(entries);
        }
        for (EndpointListEntry entry : entries) {
            Endpoint endpoint = getOrCreate(entry.info().id());
            endpoint.update(entry.info(), entry.address() == null ? endpoint.address() : entry.address());
        }
        evictOldestRemoved();
    }

    /**
     * Bounds the map, as each release replaces all endpoints by ones with new ids; open connections keep their own
     * reference.
     */
    private void evictOldestRemoved() {
        if (endpointsById.size() <= maxRetained) {
            return;
        }
        maxRetained = Math.max(MIN_RETAINED, MAX_RETAINED_PER_LISTED * (int) listedCount());
        Iterator<Endpoint> oldestFirst = endpointsById.values().iterator();
        while (endpointsById.size() > maxRetained && oldestFirst.hasNext()) {
            if (!oldestFirst.next().isListed()) {
                oldestFirst.remove();
            }
        }
    }

    private void removeUnlisted(List<EndpointListEntry> entries) {
        Set<String> listedIds = new HashSet<>();
        entries.forEach(entry -> listedIds.add(entry.info().id()));
        endpointsById.values().stream()
                .filter(endpoint -> !listedIds.contains(endpoint.id()))
                .forEach(Endpoint::markRemoved);
    }

    /** The endpoint with that id, null if no list has contained it and no decision has named it, or it has been evicted. */
    Endpoint find(String id) {
        return endpointsById.get(id);
    }

    /** The endpoint with that id; if there is none, it is created with the status REMOVED. */
    Endpoint getOrCreate(String id) {
        return endpointsById.computeIfAbsent(id, Endpoint::new);
    }

    /** Whether a connection can be opened to the endpoint with that id. */
    boolean isAvailable(String id) {
        Endpoint endpoint = find(id);
        return endpoint != null && endpoint.isAvailable();
    }

    /** The number of retained endpoints; for tests. */
    int retainedCount() {
        return endpointsById.size();
    }

    /** Whether discovery has delivered a list since the start; the cached list does not count. */
    boolean isListReceived() {
        return listReceived;
    }

    /** The number of listed endpoints. */
    long listedCount() {
        return endpointsById.values().stream().filter(Endpoint::isListed).count();
    }

    /** The number of listed endpoints that are serving. */
    long servingCount() {
        return endpointsById.values().stream().filter(Endpoint::isServing).count();
    }

    /** The descriptions of the listed endpoints. */
    Collection<EndpointInfo> listedInfos() {
        return endpointsById.values().stream()
                .filter(Endpoint::isListed)
                .map(Endpoint::info)
                .toList();
    }
}
