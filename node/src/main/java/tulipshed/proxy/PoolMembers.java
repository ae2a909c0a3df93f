package tulipshed.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.BalancerApi.ListKind;
import tulipshed.decision.BalancerApi.ServerEntry;

/** The pool members that the list named, also those that it names no more but to which something may still be open. */
final class PoolMembers {
    private final Map<String, PoolMember> byId = new HashMap<>();
    private boolean told;

    /** What discovery told. */
    void update(ListKind kind, List<ListedMember> listed) {
        told |= kind == ListKind.COMPLETE || kind == ListKind.CHANGES;
        if (kind == ListKind.COMPLETE || kind == ListKind.REMEMBERED) {
            Set<String> named = new HashSet<>();
            listed.forEach(m -> named.add(m.entry().server()));
            byId.values().stream().filter(m -> !named.contains(m.id())).forEach(PoolMember::gone);
        }
        for (ListedMember m : listed) {
            PoolMember member = orNew(m.entry().server());
            member.update(m.entry(), m.address() == null ? member.address() : m.address());
        }
    }

    /** The member of that id, or null. */
    PoolMember get(String id) {
        return byId.get(id);
    }

    PoolMember orNew(String id) {
        return byId.computeIfAbsent(id, PoolMember::new);
    }

    /** Whether discovery has told its list since the start. */
    boolean told() {
        return told;
    }

    /** How many the list names. */
    long listed() {
        return byId.values().stream().filter(PoolMember::listed).count();
    }

    /** What the list says of those that it names. */
    Collection<ServerEntry> entries() {
        return byId.values().stream()
                .filter(PoolMember::listed)
                .map(PoolMember::entry)
                .toList();
    }
}
