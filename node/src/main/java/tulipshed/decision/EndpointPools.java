package tulipshed.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The pool of all endpoints and the named pools. Confined to the event-loop thread. */
final class EndpointPools {
    private static final int FIRST_NAMED_ID = 2;

    final EndpointPool allEndpoints;
    private final EndpointPool emptyPool;
    private final Map<String, EndpointPool> namedPools = new LinkedHashMap<>();
    private final double arrivalsTimeConstantUs;

    /**
     * Creates the pool of all endpoints.
     *
     * @param arrivalsTimeConstantUs time constant of the group arrival counts, in microseconds
     */
    EndpointPools(double arrivalsTimeConstantUs) {
        this.arrivalsTimeConstantUs = arrivalsTimeConstantUs;
        allEndpoints = new EndpointPool(0, arrivalsTimeConstantUs);
        emptyPool = new EndpointPool(1, arrivalsTimeConstantUs);
    }

    /** The pool of this name, or an empty pool if it does not exist; for null, the pool of all endpoints. */
    EndpointPool get(String name) {
        return name == null ? allEndpoints : namedPools.getOrDefault(name, emptyPool);
    }

    /** Replaces the named pools and assigns {@code endpoints} to the pools that list them. */
    void replacePools(Map<String, Set<String>> endpointIdsByPool, Collection<EndpointState> endpoints) {
        namedPools.forEach((name, pool) -> pool.endpointIds = endpointIdsByPool.getOrDefault(name, Set.of()));
        endpointIdsByPool.forEach((name, endpointIds) ->
                namedPools.computeIfAbsent(name, n -> new EndpointPool(lowestUnusedId(), arrivalsTimeConstantUs))
                        .endpointIds = endpointIds);
        endpoints.forEach(this::assign);
        namedPools.keySet().retainAll(endpointIdsByPool.keySet());
    }

    /** Adds an endpoint to the named pools that list it, and removes it from the other named pools. */
    void assign(EndpointState endpoint) {
        for (EndpointPool pool : namedPools.values()) {
            boolean belongs = pool.endpointIds.contains(endpoint.name);
            if (belongs && !endpoint.pools.contains(pool)) {
                pool.addEndpoint(endpoint);
            } else if (!belongs && endpoint.pools.contains(pool)) {
                pool.removeEndpoint(endpoint);
            }
        }
    }

    private int lowestUnusedId() {
        int id = FIRST_NAMED_ID;
        while (isUsed(id)) {
            id++;
        }
        return id;
    }

    private boolean isUsed(int id) {
        return namedPools.values().stream().anyMatch(pool -> pool.id == id);
    }

    /** Describes the maintained sums of all pools that differ from a recount; empty if none does. For tests. */
    String inconsistencies(Collection<EndpointState> endpoints) {
        StringBuilder found = new StringBuilder(allEndpoints.inconsistencies(endpoints));
        namedPools.values().forEach(pool -> found.append(pool.inconsistencies(endpoints)));
        return found.toString();
    }
}
