package tulipshed.decision;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A pool of endpoints to choose from, either all endpoints or those of a named pool: sums over the ready endpoints, the
 * connection groups and the tenants' token buckets. An endpoint's connections count in each of its pools, regardless of
 * the pool of their requests. Confined to the event-loop thread.
 */
final class EndpointPool {
    private static final int SETS_PER_POOL = 5;
    private static final double MIN_WEIGHT = 1e-9;
    private static final double LOAD_TOLERANCE = 1e-6;

    final int id;
    final IndexedSet<EndpointState> ready;
    /** Ready endpoints in the balancer's own zone. */
    final IndexedSet<EndpointState> sameZone;

    /** Ready endpoints that are marked as ejected; the mark may outlast the ejection. */
    final IndexedSet<EndpointState> ejected;
    /** Ready endpoints that are marked as warming; the mark may outlast slow start. */
    final IndexedSet<EndpointState> warming;
    /** Ready endpoints that are marked as ejected or have an attempt or connection of this balancer. */
    final IndexedSet<EndpointState> observed;

    /** Connection groups by name. */
    final Map<String, ConnectionGroup> groups = new HashMap<>();
    /** Token buckets by tenant name. */
    final Map<String, TokenBucket> buckets = new HashMap<>();

    final DecayingCounter groupArrivals;
    /** IDs of the endpoints of a named pool; empty for the pool of all endpoints. */
    Set<String> endpointIds = Set.of();

    double weight;
    double load;
    int open;
    int pending;
    /** Sum of the pending limits of the ready endpoints. */
    int pendingLimits;

    int failing;
    /** Incremented whenever the set of ready endpoints changes. */
    int version;

    /**
     * Creates an empty pool.
     *
     * @param id unique number of the pool, from 0 on
     * @param arrivalsTimeConstantUs time constant of the group arrival counts, in microseconds
     */
    EndpointPool(int id, double arrivalsTimeConstantUs) {
        this.id = id;
        ready = new IndexedSet<>(SETS_PER_POOL * id);
        sameZone = new IndexedSet<>(SETS_PER_POOL * id + 1);
        ejected = new IndexedSet<>(SETS_PER_POOL * id + 2);
        warming = new IndexedSet<>(SETS_PER_POOL * id + 3);
        observed = new IndexedSet<>(SETS_PER_POOL * id + 4);
        groupArrivals = new DecayingCounter(arrivalsTimeConstantUs);
    }

    /** Computes the weight of the ready endpoints from the estimated speeds of the machine types. */
    void updateWeight(Collection<MachineType> machineTypes) {
        weight = machineTypes.stream()
                .mapToDouble(machineType -> machineType.readySize(id) * machineType.speed)
                .sum();
    }

    /** The weight of the ready endpoints, bounded below by a small positive value so that it can be a divisor. */
    double nonZeroWeight() {
        return Math.max(MIN_WEIGHT, weight);
    }

    /** Adds an endpoint that has become ready. */
    void addReady(EndpointState endpoint) {
        ready.add(endpoint);
        addToSums(endpoint, 1);
    }

    /** Removes an endpoint that is no longer ready and is not ejected. */
    void removeReady(EndpointState endpoint) {
        ready.remove(endpoint);
        sameZone.remove(endpoint);
        warming.remove(endpoint);
        addToSums(endpoint, -1);
    }

    /** Updates whether the balancer has its own observations of an endpoint. */
    void updateObserved(EndpointState endpoint) {
        if (ready.has(endpoint) && (endpoint.open > 0 || ejected.has(endpoint))) {
            observed.add(endpoint);
        } else {
            observed.remove(endpoint);
        }
    }

    /** Adds an endpoint to this named pool, with its state in the pool of all endpoints. */
    void addEndpoint(EndpointState endpoint) {
        EndpointPool allEndpoints = endpoint.pools.get(0);
        endpoint.pools.add(this);
        if (allEndpoints.ready.has(endpoint)) {
            ready.add(endpoint);
            copyMembership(allEndpoints.sameZone, sameZone, endpoint);
            copyMembership(allEndpoints.warming, warming, endpoint);
            copyMembership(allEndpoints.ejected, ejected, endpoint);
            failing += endpoint.failing ? 1 : 0;
            addToSums(endpoint, 1);
        }
    }

    /** Removes an endpoint from this named pool. */
    void removeEndpoint(EndpointState endpoint) {
        endpoint.pools.remove(this);
        if (ready.has(endpoint)) {
            failing -= endpoint.failing ? 1 : 0;
            ejected.remove(endpoint);
            removeReady(endpoint);
        }
    }

    private static void copyMembership(
            IndexedSet<EndpointState> from, IndexedSet<EndpointState> to, EndpointState endpoint) {
        if (from.has(endpoint)) {
            to.add(endpoint);
        }
    }

    private void addToSums(EndpointState endpoint, int sign) {
        endpoint.machineType.addReadySize(id, sign * endpoint.size);
        load += sign * endpoint.openLoad;
        pending += sign * endpoint.pending;
        pendingLimits += sign * endpoint.pendingLimit;
        open += sign * endpoint.open;
        version++;
        updateObserved(endpoint);
    }

    /**
     * Describes the maintained sums if any differs from a recount over the given endpoints; otherwise empty. For tests.
     */
    String inconsistencies(Collection<EndpointState> endpoints) {
        int[] counts = new int[5];
        double loadSum = 0;
        for (EndpointState endpoint : endpoints) {
            if (endpoint.pools.contains(this) && ready.has(endpoint)) {
                counts[0] += endpoint.open;
                counts[1] += endpoint.pending;
                counts[2] += endpoint.pendingLimit;
                counts[3] += endpoint.failing ? 1 : 0;
                counts[4]++;
                loadSum += endpoint.openLoad;
            }
        }
        int[] maintained = {open, pending, pendingLimits, failing, ready.size()};
        boolean consistent = Arrays.equals(counts, maintained)
                && Math.abs(loadSum - load) < LOAD_TOLERANCE * (1 + Math.abs(loadSum));
        return consistent
                ? ""
                : "pool " + id + ": " + Arrays.toString(maintained) + " " + load + ", not " + Arrays.toString(counts)
                        + " " + loadSum;
    }
}
