package tulipshed.decision;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Servers among which one is chosen, all of them or a named pool, and what a balancer must know of them together: sums
 * over those that are ready, its groups there, and the tenants' allowances there. A server counts the same in each of its
 * fleets, whichever of them a connection came by.
 */
final class EndpointPool {
    private static final int POOLS = 5;

    final int id;
    final IndexedSet<EndpointState> ready;
    final IndexedSet<EndpointState> near;
    final IndexedSet<EndpointState> ejected;
    final IndexedSet<EndpointState> warming;
    /** Ready servers that this balancer has news of. */
    final IndexedSet<EndpointState> known;

    final Map<String, ConnectionGroup> groups = new HashMap<>();
    final Map<String, Balancer.TokenBucket> buckets = new HashMap<>();
    final DecayingCounter groupArrivals;
    /** Names of those that belong to it; not kept for the whole fleet. */
    Set<String> members = Set.of();

    double weight;
    double load;
    int open;
    int pending;
    int limits;
    int failing;
    int version;

    /** One with a number of its own, from 0 on; {@code groupMemoryUs} is how long arrivals of groups are remembered. */
    EndpointPool(int id, double groupMemoryUs) {
        this.id = id;
        ready = new IndexedSet<>(POOLS * id);
        near = new IndexedSet<>(POOLS * id + 1);
        ejected = new IndexedSet<>(POOLS * id + 2);
        warming = new IndexedSet<>(POOLS * id + 3);
        known = new IndexedSet<>(POOLS * id + 4);
        groupArrivals = new DecayingCounter(groupMemoryUs);
    }

    /** The weight of its ready servers, by what is believed of their kinds now. */
    void weigh(Collection<MachineType> kinds) {
        weight = kinds.stream().mapToDouble(k -> k.readySize(id) * k.speed).sum();
    }

    /** What of its sums is not what counting anew over these servers gives; for tests. */
    String miscounted(Collection<EndpointState> all) {
        int[] counts = new int[5];
        double sum = 0;
        for (EndpointState endpoint : all) {
            if (endpoint.fleets.contains(this) && ready.has(endpoint)) {
                counts[0] += endpoint.open;
                counts[1] += endpoint.pending;
                counts[2] += endpoint.limit;
                counts[3] += endpoint.failing ? 1 : 0;
                counts[4]++;
                sum += endpoint.openLoad;
            }
        }
        boolean right = counts[0] == open
                && counts[1] == pending
                && counts[2] == limits
                && counts[3] == failing
                && counts[4] == ready.size()
                && Math.abs(sum - load) < 1e-6 * (1 + Math.abs(sum));
        return right
                ? ""
                : "fleet " + id + ": " + open + " " + pending + " " + limits + " " + failing + " " + ready.size() + " "
                        + load + ", not " + java.util.Arrays.toString(counts) + " " + sum;
    }

    /** A server is ready, or is so no more. */
    void sum(EndpointState endpoint, int sign) {
        endpoint.kind.ready(id, sign * endpoint.size);
        load += sign * endpoint.openLoad;
        pending += sign * endpoint.pending;
        limits += sign * endpoint.limit;
        open += sign * endpoint.open;
        version++;
        count(endpoint);
    }

    /** Whether there is news of a server may have changed. */
    void count(EndpointState endpoint) {
        if (ready.has(endpoint) && (endpoint.open > 0 || ejected.has(endpoint))) {
            known.add(endpoint);
        } else {
            known.remove(endpoint);
        }
    }

    /** A server that is one of the whole fleet already belongs to this one too: it is here what it is there. */
    void enter(EndpointState endpoint) {
        EndpointPool whole = endpoint.fleets.get(0);
        endpoint.fleets.add(this);
        if (whole.ready.has(endpoint)) {
            ready.add(endpoint);
            copy(whole.near, near, endpoint);
            copy(whole.warming, warming, endpoint);
            copy(whole.ejected, ejected, endpoint);
            failing += endpoint.failing ? 1 : 0;
            sum(endpoint, 1);
        }
    }

    private static void copy(IndexedSet<EndpointState> from, IndexedSet<EndpointState> to, EndpointState endpoint) {
        if (from.has(endpoint)) {
            to.add(endpoint);
        }
    }

    /** A server belongs to this one no more. */
    void leave(EndpointState endpoint) {
        endpoint.fleets.remove(this);
        if (ready.has(endpoint)) {
            failing -= endpoint.failing ? 1 : 0;
            ejected.remove(endpoint);
            unready(endpoint);
        }
    }

    /** A server is not ready any more; it has been readmitted before. */
    void unready(EndpointState endpoint) {
        ready.remove(endpoint);
        near.remove(endpoint);
        warming.remove(endpoint);
        sum(endpoint, -1);
    }
}
