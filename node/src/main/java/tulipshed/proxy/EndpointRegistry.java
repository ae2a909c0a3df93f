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
 * The endpoints that the list has named, including removed ones to which connections may still be open. Confined to the
 * event-loop thread.
 */
final class EndpointRegistry {
    /** So many endpoints may be remembered, listed or removed, however short the list is. */
    private static final int MIN_REMEMBERED = 64;

    /** Listed and removed endpoints may be remembered in this proportion to the listed ones. */
    private static final int REMEMBERED_PER_LISTED = 2;

    /** Oldest first. */
    private final Map<String, Endpoint> endpointsById = new LinkedHashMap<>();

    private int maxRemembered = MIN_REMEMBERED;
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
        forgetOldestRemoved();
    }

    /** Releases replace endpoints by others with new ids; connections that are still open hold their endpoint themselves. */
    private void forgetOldestRemoved() {
        if (endpointsById.size() <= maxRemembered) {
            return;
        }
        maxRemembered = Math.max(MIN_REMEMBERED, REMEMBERED_PER_LISTED * (int) listedCount());
        Iterator<Endpoint> oldestFirst = endpointsById.values().iterator();
        while (endpointsById.size() > maxRemembered && oldestFirst.hasNext()) {
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

    /** The endpoint of that id, or null where no list has named it. */
    Endpoint find(String id) {
        return endpointsById.get(id);
    }

    /** The endpoint of that id; one that no list has named is created, as removed. */
    Endpoint getOrCreate(String id) {
        return endpointsById.computeIfAbsent(id, Endpoint::new);
    }

    /** Whether a connection can be opened to the endpoint of that id. */
    boolean isAvailable(String id) {
        Endpoint endpoint = find(id);
        return endpoint != null && endpoint.isAvailable();
    }

    /** How many endpoints are remembered; for tests. */
    int rememberedCount() {
        return endpointsById.size();
    }

    /** Whether discovery has delivered a list since the start, other than the cached one. */
    boolean isListReceived() {
        return listReceived;
    }

    /** How many endpoints the list names. */
    long listedCount() {
        return endpointsById.values().stream().filter(Endpoint::isListed).count();
    }

    /** How many of the listed endpoints are serving. */
    long servingCount() {
        return endpointsById.values().stream().filter(Endpoint::isServing).count();
    }

    /** What the list says of the endpoints that it names. */
    Collection<EndpointInfo> listedInfos() {
        return endpointsById.values().stream()
                .filter(Endpoint::isListed)
                .map(Endpoint::info)
                .toList();
    }
}
