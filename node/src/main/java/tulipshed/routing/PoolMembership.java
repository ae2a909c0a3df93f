package tulipshed.routing;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.expression.CompiledExpression;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Program;

/**
 * The endpoints of each pool. Evaluated when the rules are set and, if there are routes or a condition reads the age of an
 * endpoint, also when the endpoint list changes and at intervals.
 */
public final class PoolMembership {
    private final EndpointSchema schema;
    private final Map<String, CompiledExpression> conditionByPool;
    private final boolean dependsOnAge;
    private final EvaluationFrame frame;
    private Map<String, Set<String>> endpointIdsByPool = new LinkedHashMap<>();

    /**
     * Creates empty pools.
     *
     * @param conditionByPool the conditions by pool name, in the order of the operators' file
     * @param dependsOnAge whether a condition reads the age of an endpoint
     * @param program the complete program of the conditions
     */
    public PoolMembership(
            EndpointSchema schema,
            Map<String, CompiledExpression> conditionByPool,
            boolean dependsOnAge,
            Program program) {
        this.schema = schema;
        this.conditionByPool = new LinkedHashMap<>(conditionByPool);
        this.dependsOnAge = dependsOnAge;
        frame = program.frame();
        conditionByPool.keySet().forEach(pool -> endpointIdsByPool.put(pool, Set.of()));
    }

    /** Whether pools may change without a change of the endpoint list. */
    boolean dependsOnAge() {
        return dependsOnAge;
    }

    /** Re-evaluates the conditions of all pools; returns whether any pool changed. */
    boolean update(Collection<EndpointInfo> listed, double nowMs) {
        Map<String, Set<String>> updated = new LinkedHashMap<>();
        conditionByPool.keySet().forEach(pool -> updated.put(pool, new HashSet<>()));
        for (EndpointInfo endpoint : listed) {
            if (schema.fill(frame, endpoint, nowMs)) {
                conditionByPool.forEach((pool, condition) -> {
                    if (condition.booleanValue(frame)) {
                        updated.get(pool).add(endpoint.id());
                    }
                });
            }
        }
        boolean changed = !updated.equals(endpointIdsByPool);
        endpointIdsByPool = updated;
        return changed;
    }

    /** Returns the IDs of the endpoints of each pool, in the order of the operators' file. */
    Map<String, Set<String>> endpointIdsByPool() {
        return Collections.unmodifiableMap(endpointIdsByPool);
    }

    /** Returns the number of endpoints of a pool. */
    int size(String pool) {
        return endpointIdsByPool.get(pool).size();
    }
}
