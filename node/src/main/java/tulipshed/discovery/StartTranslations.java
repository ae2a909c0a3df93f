package tulipshed.discovery;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.time.WallTime;

/**
 * The translations of the starts of endpoints that are listed, and of endpoints that were listed before. As many removed
 * endpoints are remembered as were ever listed at a time, so that a list that is empty once does not make the node forget any.
 * Confined to the event-loop thread.
 */
final class StartTranslations {
    private final Map<String, StartTranslation> listed = new HashMap<>();

    /** In the order of their removal; none is in {@link #listed}. */
    private final Map<String, StartTranslation> removed = new LinkedHashMap<>();

    private int maxListed;

    /** The latest translation for an endpoint, listed or removed; null where there is none. */
    StartTranslation get(String endpointId) {
        StartTranslation translation = listed.get(endpointId);
        return translation == null ? removed.get(endpointId) : translation;
    }

    /** Sets the translation of an endpoint, which counts as listed. */
    void put(String endpointId, StartTranslation translation) {
        removed.remove(endpointId);
        listed.put(endpointId, translation);
        maxListed = Math.max(maxListed, listed.size());
    }

    /** The listed start of each listed endpoint, by the endpoint's ID; a copy. */
    Map<String, WallTime> listedStarts() {
        Map<String, WallTime> starts = new HashMap<>();
        listed.forEach((id, translation) -> starts.put(id, translation.listedStart()));
        return starts;
    }

    /** Counts an endpoint as removed, if it is listed. */
    void remove(String endpointId) {
        StartTranslation translation = listed.remove(endpointId);
        if (translation != null) {
            removed.put(endpointId, translation);
        }
        if (removed.size() > maxListed) {
            removed.remove(removed.keySet().iterator().next());
        }
    }

    /** Counts every listed endpoint without an entry in this list as removed, in the order of their IDs. */
    void removeUnlisted(List<ListedEndpoint> entries) {
        Set<String> entryIds = new HashSet<>();
        entries.forEach(entry -> entryIds.add(entry.id()));
        listed.keySet().stream()
                .filter(id -> !entryIds.contains(id))
                .sorted()
                .toList()
                .forEach(this::remove);
    }

    /** How many endpoints are remembered, listed and removed. */
    int size() {
        return listed.size() + removed.size();
    }
}
