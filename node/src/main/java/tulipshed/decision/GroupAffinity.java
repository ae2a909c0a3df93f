package tulipshed.decision;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Keeps the connections of a group together on few endpoints. Confined to the event-loop thread. */
final class GroupAffinity {
    /** Time constant of the counts of group arrivals: the life of a connection or two. */
    static final double MEMORY_US = 60e6;

    private static final double PREFERRED_SHARE = 1; // preferred endpoints in proportion to the share of arrivals
    private static final int MIN_PREFERRED = 2; // or there would be no less loaded one
    private static final double MAX_EVEN_LOADS = 2; // load up to which an endpoint attracts its groups
    private static final int MAX_GROUPS = 4096; // remembered before unused ones are forgotten
    private static final double FORGET_BELOW_ARRIVALS = 0.1;

    private final ActiveSettings settings;
    private final OutlierEjection outlierEjection;
    private final EndpointEvaluator evaluator;
    private final MovingAverages averageLoads;
    private final SplittableRandom random;

    /** {@code averageLoads} holds the reported loads, by request class. */
    GroupAffinity(
            ActiveSettings settings,
            OutlierEjection outlierEjection,
            EndpointEvaluator evaluator,
            MovingAverages averageLoads,
            SplittableRandom random) {
        this.settings = settings;
        this.outlierEjection = outlierEjection;
        this.evaluator = evaluator;
        this.averageLoads = averageLoads;
        this.random = random;
    }

    /** The group of a request in its pool, or null if it has none. */
    ConnectionGroup groupOf(long now, RequestState request) {
        String name = request.arrival.group();
        if (!settings.current().groupAffinity() || name == null) {
            return null;
        }
        Map<String, ConnectionGroup> groups = request.pool.groups;
        if (groups.size() > MAX_GROUPS) {
            groups.values()
                    .removeIf(group -> group.holders.isEmpty() && group.arrivals.at(now) < FORGET_BELOW_ARRIVALS);
        }
        return groups.computeIfAbsent(name, n -> new ConnectionGroup(n, MIN_PREFERRED, MEMORY_US));
    }

    /** Counts an established connection for its group. */
    void recordEstablished(long now, RequestState request) {
        ConnectionGroup group = groupOf(now, request);
        if (group != null) {
            group.holders.add(request.endpoint);
            request.group = group;
            group.arrivals.add(now);
            request.pool.groupArrivals.add(now);
        }
    }

    /** Counts the end of a connection for its group. */
    void recordEnded(RequestState request, EndpointState endpoint) {
        if (request.group != null) {
            request.group.holders.remove(endpoint);
            request.group = null;
        }
    }

    /** An endpoint that holds connections of the group and has capacity for more, or null; lighter if loads are known. */
    EndpointState chooseHolder(long now, RequestState request, ConnectionGroup group) {
        if (group == null || group.holders.isEmpty()) {
            return null;
        }
        EndpointState first = randomHolder(group.holders);
        EndpointState second = averageLoads.isEmpty() ? first : randomHolder(group.holders);
        boolean takesSecond = second != first
                && hasGroupCapacity(now, request, second)
                && EndpointEvaluator.isLighter(request, second, first);
        EndpointState chosen = takesSecond ? second : first;
        return hasGroupCapacity(now, request, chosen) ? chosen : null;
    }

    private EndpointState randomHolder(List<EndpointState> holders) {
        return holders.get(random.nextInt(holders.size()));
    }

    /** Where latencies are reported and loads are not, an endpoint attracts its groups until it is ejected as slow. */
    private boolean hasGroupCapacity(long now, RequestState request, EndpointState endpoint) {
        EndpointPool pool = request.pool;
        double evenLoad = (pool.load + request.load) * endpoint.weight() / Math.max(1e-9, pool.weight);
        return evaluator.isUsable(now, request, endpoint)
                && now >= endpoint.ejectedUntilUs
                && endpoint.pending < endpoint.pendingLimit
                && ((outlierEjection.hasLatencyReports() && averageLoads.isEmpty())
                        || endpoint.openLoad + request.load <= MAX_EVEN_LOADS * evenLoad);
    }

    /**
     * Number of preferred endpoints, by the group's share of the arrivals. Laplace's estimate: an unseen group counted
     * as nothing would crowd its first preferred endpoints from many balancers.
     */
    int preferredCount(long now, EndpointPool pool, ConnectionGroup group) {
        double share = (group.arrivals.at(now) + 1) / (pool.groupArrivals.at(now) + pool.groups.size());
        int count = (int) Math.round(PREFERRED_SHARE * share * pool.ready.size());
        return Math.max(MIN_PREFERRED, Math.min(pool.ready.size(), count));
    }

    /** The preferred endpoint of this rank, by weighted rendezvous hashing, on which all balancers agree. */
    EndpointState preferred(EndpointPool pool, ConnectionGroup group, int rank) {
        if (group.poolVersion != pool.version) {
            Arrays.fill(group.preferred, null);
            group.poolVersion = pool.version;
        }
        if (rank >= group.preferred.length) {
            group.preferred = Arrays.copyOf(group.preferred, Math.max(rank + 1, 2 * group.preferred.length));
        }
        if (group.preferred[rank] == null) {
            group.preferred[rank] = highestRanked(pool, group, rank);
        }
        return group.preferred[rank];
    }

    private static EndpointState highestRanked(EndpointPool pool, ConnectionGroup group, int rank) {
        EndpointState best = null;
        double lowestScore = Double.MAX_VALUE;
        for (int i = 0; i < pool.ready.size(); i++) {
            EndpointState endpoint = pool.ready.get(i);
            double score = -Math.log(Hashing.uniform(group.hash, endpoint.hash, rank)) / endpoint.weight();
            if (score < lowestScore) {
                lowestScore = score;
                best = endpoint;
            }
        }
        return best;
    }
}
