package tulipshed.discovery;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.time.WallTime;

/**
 * Translations of the starts of listed endpoints and of recently removed ones. The number of removed endpoints
 * remembered is limited to the largest number ever listed at a time, so that an empty list does not discard the
 * translations of the endpoints it removes. Confined to the event-loop thread.
 */
final class StartTranslations {
    private final Map<String, StartTranslation> listed = new HashMap<>();

    /** Translations of removed endpoints in the order of removal; no endpoint is also in {@link #listed}. */
    private final Map<String, StartTranslation> removed = new LinkedHashMap<>();

    private int maxListed;

    /** Returns the latest translation for a listed or removed endpoint; null if there is none. */
    StartTranslation get(String endpointId) {
        StartTranslation translation = listed.get(endpointId);
        return translation == null ? removed.get(endpointId) : translation;
    }

    /** Sets the translation of an endpoint and marks the endpoint as listed. */
    void put(String endpointId, StartTranslation translation) {
        removed.remove(endpointId);
        listed.put(endpointId, translation);
        maxListed = Math.max(maxListed, listed.size());
    }

    /** Returns a copy of the listed starts of the listed endpoints, by endpoint ID. */
    Map<String, WallTime> listedStarts() {
        Map<String, WallTime> starts = new HashMap<>();
        listed.forEach((id, translation) -> starts.put(id, translation.listedStart()));
        return starts;
    }

    /** Marks an endpoint as removed if it is listed. */
    void remove(String endpointId) {
        StartTranslation translation = listed.remove(endpointId);
        if (translation != null) {
            removed.put(endpointId, translation);
        }
        if (removed.size() > maxListed) {
            removed.remove(removed.keySet().iterator().next());
        }
    }

    /** Marks every listed endpoint without an entry in this list as removed, in the order of IDs. */
    void removeUnlisted(List<ListedEndpoint> entries) {
        Set<String> entryIds = new HashSet<>();
        entries.forEach(entry -> entryIds.add(entry.id()));
        listed.keySet().stream()
                .filter(id -> !entryIds.contains(id))
                .sorted()
                .toList()
                .forEach(this::remove);
    }

    /** Number of endpoints remembered, listed and removed. */
    int size() {
        return listed.size() + removed.size();
    }
}
