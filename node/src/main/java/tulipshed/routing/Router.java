package tulipshed.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import tulipshed.decision.api.EndpointInfo;

/**
 * Applies the operators' rules to requests: assigns class, tenant and group, and the pool that must serve a request. The
 * decision module decides which endpoint of the pool serves it, if any. Does no I/O; confined to one thread.
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
     * Creates a router with these rules.
     *
     * @param classification null if there are no classification rules
     * @param pools null if there are no pools
     * @param routes null if there are no routes; routes require pools
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

    /** Returns the class, tenant and group of the request after the rules. */
    public RequestClassification classify(RequestAttributes request) {
        return classification == null || !schema.fits(request)
                ? request.unclassified()
                : classification.classify(request);
    }

    /** Returns the pool that must serve a classified request now, null for any endpoint. */
    public String poolFor(RequestAttributes request) {
        return routes == null || !schema.fits(request) ? null : routes.poolFor(request);
    }

    /**
     * Returns the rules that apply to a request that has not been classified. Unlike {@link #classify}, it does not check
     * whether the strings of the request fit.
     */
    public MatchedRules matchedRules(RequestAttributes request) {
        RequestAttributes classified = request.withClassification(classify(request));
        return new MatchedRules(
                classification == null ? null : classification.matchingRule(request),
                routes == null ? null : routes.matchingRoute(classified));
    }

    /** Re-evaluates the pools with the listed endpoints; returns whether any pool changed. */
    public boolean updatePools(Collection<EndpointInfo> listed, double nowMs) {
        return pools != null && pools.update(listed, nowMs);
    }

    /** Returns the IDs of the endpoints of each pool. */
    public Map<String, Set<String>> endpointIdsByPool() {
        return pools == null ? Map.of() : pools.endpointIdsByPool();
    }

    /** Whether pools may change without a change of the endpoint list. */
    public boolean poolsDependOnAge() {
        return pools != null && pools.dependsOnAge();
    }

    /** Whether there are routes, whose pools must be re-evaluated at intervals. */
    public boolean hasRoutes() {
        return routes != null;
    }

    /**
     * Re-evaluates which pool each route uses.
     *
     * @param readyEndpoints returns the number of ready endpoints of the pool with that name
     * @return whether the pool of any route changed
     */
    public boolean reevaluateSpillover(ToIntFunction<String> readyEndpoints) {
        if (routes == null) {
            return false;
        }
        readyCountByPool.clear();
        pools.endpointIdsByPool().keySet().forEach(pool -> readyCountByPool.put(pool, readyEndpoints.applyAsInt(pool)));
        return routes.reevaluate(readiness);
    }

    /**
     * Returns the pool in use by route name, for routes that do not use their preferred pool; for a split route, the pool of
     * its last branch that does not use its preferred pool.
     */
    public Map<String, String> spilloverPools() {
        return routes == null ? Map.of() : routes.spilloverPools();
    }
}
