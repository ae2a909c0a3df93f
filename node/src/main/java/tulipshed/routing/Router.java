package tulipshed.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import tulipshed.decision.api.EndpointInfo;

/**
 * Applies the operators' rules to requests: assigns class, tenant and group, and the pool that must serve a request. Which
 * endpoint of the pool serves it, and whether any does, is up to the decision module. Does no I/O; confined to one thread.
 */
public final class Router {
    private final AttributeDeclarations declarations;
    private final RequestSchema schema;
    private final ClassificationRules classification;
    private final PoolMembership pools;
    private final Routes routes;
    private final Map<String, Integer> readyCountByPool = new HashMap<>();
    private final PoolReadiness readiness = new PoolReadiness() {
        @Override
        public int readyCount(String pool) {
            return readyCountByPool.get(pool);
        }

        @Override
        public double readyShare(String pool) {
            return pools.size(pool) == 0 ? 0 : (double) readyCountByPool.get(pool) / pools.size(pool);
        }
    };

    /**
     * A router of these rules.
     *
     * @param classification null where there are no classification rules
     * @param pools null where there are no pools
     * @param routes null where there are no routes; they need pools
     */
    public Router(
            AttributeDeclarations declarations,
            RequestSchema schema,
            ClassificationRules classification,
            PoolMembership pools,
            Routes routes) {
        this.declarations = declarations;
        this.schema = schema;
        this.classification = classification;
        this.pools = pools;
        this.routes = routes;
    }

    /** Returns the declarations that frontends must check requests against. */
    public AttributeDeclarations declarations() {
        return declarations;
    }

    /** Returns the class, tenant and group that the request has by the rules. */
    public RequestClassification classify(RequestAttributes request) {
        return classification == null || !schema.fits(request)
                ? request.unclassified()
                : classification.classify(request);
    }

    /** Returns the pool that must serve a classified request now, null where any endpoint may. */
    public String poolFor(RequestAttributes request) {
        return routes == null || !schema.fits(request) ? null : routes.poolFor(request);
    }

    /** Returns the rules that apply to a request as it arrived. */
    public MatchedRules matchedRules(RequestAttributes request) {
        RequestAttributes classified = request.withClassification(classify(request));
        return new MatchedRules(
                classification == null ? null : classification.matchingRule(request),
                routes == null ? null : routes.matchingRoute(classified));
    }

    /** Evaluates the pools against the listed endpoints; whether any pool changed. */
    public boolean updatePools(Collection<EndpointInfo> listed, double nowMs) {
        return pools != null && pools.update(listed, nowMs);
    }

    /** Returns the IDs of the endpoints of each pool. */
    public Map<String, Set<String>> endpointIdsByPool() {
        return pools == null ? Map.of() : pools.endpointIdsByPool();
    }

    /** Whether pools may change while the endpoint list does not. */
    public boolean poolsDependOnAge() {
        return pools != null && pools.dependsOnAge();
    }

    /** Whether there are routes, whose use of pools is to be re-evaluated in intervals. */
    public boolean hasRoutes() {
        return routes != null;
    }

    /**
     * Decides anew which pool each route uses.
     *
     * @param readyEndpoints how many endpoints of the pool of that name are ready
     * @return whether any route uses another pool from now on
     */
    public boolean reevaluateSpillover(ToIntFunction<String> readyEndpoints) {
        if (routes == null) {
            return false;
        }
        readyCountByPool.clear();
        pools.endpointIdsByPool().keySet().forEach(pool -> readyCountByPool.put(pool, readyEndpoints.applyAsInt(pool)));
        return routes.reevaluate(readiness);
    }

    /** Returns the pool in use by name of the route, for routes that use another pool than their preferred one. */
    public Map<String, String> spilloverPools() {
        return routes == null ? Map.of() : routes.spilloverPools();
    }
}
