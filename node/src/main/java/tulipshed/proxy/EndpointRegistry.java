package tulipshed.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.EndpointListKind;

/** The pool members that the list named, also those that it names no more but to which something may still be open. */
final class EndpointRegistry {
    private final Map<String, Endpoint> byId = new HashMap<>();
    private boolean told;

    /** What discovery told. */
    void update(EndpointListKind kind, List<EndpointListEntry> listed) {
        told |= kind == EndpointListKind.COMPLETE || kind == EndpointListKind.CHANGES;
        if (kind == EndpointListKind.COMPLETE || kind == EndpointListKind.CACHED) {
            Set<String> named = new HashSet<>();
            listed.forEach(m -> named.add(m.info().id()));
            byId.values().stream().filter(m -> !named.contains(m.id())).forEach(Endpoint::gone);
        }
        for (EndpointListEntry m : listed) {
            Endpoint endpoint = orNew(m.info().id());
            endpoint.update(m.info(), m.address() == null ? endpoint.address() : m.address());
        }
    }

    /** The member of that id, or null. */
    Endpoint get(String id) {
        return byId.get(id);
    }

    Endpoint orNew(String id) {
        return byId.computeIfAbsent(id, Endpoint::new);
    }

    /** Whether discovery has told its list since the start. */
    boolean told() {
        return told;
    }

    /** How many the list names. */
    long listed() {
        return byId.values().stream().filter(Endpoint::listed).count();
    }

    /** What the list says of those that it names. */
    Collection<EndpointInfo> entries() {
        return byId.values().stream()
                .filter(Endpoint::listed)
                .map(Endpoint::entry)
                .toList();
    }
}
