package tulipshed.routing;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Program;

/** Named sets of members, worked out when the list changes, and in between only where they ask a member's age. */
public final class PoolMembership {
    private final EndpointSchema schema;
    private final Map<String, Program.Value> conditions;
    private final boolean ages;
    private final EvaluationFrame frame;
    private Map<String, Set<String>> members = new LinkedHashMap<>();

    /** The conditions by the pools' names, in the order of the file; the program has been built. */
    public PoolMembership(EndpointSchema schema, Map<String, Program.Value> conditions, boolean ages, Program program) {
        this.schema = schema;
        this.conditions = new LinkedHashMap<>(conditions);
        this.ages = ages;
        frame = program.frame();
        conditions.keySet().forEach(name -> members.put(name, Set.of()));
    }

    /** Whether what is in a pool may change while the list does not. */
    boolean ages() {
        return ages;
    }

    /** Works them out anew; whether anything changed. */
    boolean update(Collection<EndpointInfo> listed, double nowMs) {
        Map<String, Set<String>> now = new LinkedHashMap<>();
        conditions.keySet().forEach(name -> now.put(name, new HashSet<>()));
        for (EndpointInfo e : listed) {
            if (schema.fill(frame, e, nowMs)) {
                conditions.forEach((name, condition) -> {
                    if (condition.booleanValue(frame)) {
                        now.get(name).add(e.id());
                    }
                });
            }
        }
        boolean changed = !now.equals(members);
        members = now;
        return changed;
    }

    /** The ids of the members of each pool. */
    Map<String, Set<String>> members() {
        return Collections.unmodifiableMap(members);
    }

    int size(String pool) {
        return members.get(pool).size();
    }
}
