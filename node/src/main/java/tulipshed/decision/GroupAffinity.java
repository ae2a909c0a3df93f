package tulipshed.decision;

import java.util.Map;
import java.util.SplittableRandom;

/**
 * Places the connections of a group on few endpoints; {@code averageLoads} holds the reported loads by request class.
 */
record GroupAffinity(
        ActiveSettings settings,
        OutlierEjection outlierEjection,
        EndpointEvaluator evaluator,
        MovingAverages averageLoads,
        SplittableRandom random) {
    /** Time constant of the group arrival counts: about the duration of two connections. */
    static final double ARRIVALS_TIME_CONSTANT_US = 60e6;

    private static final double PREFERRED_SHARE = 1; // preferred endpoints in proportion to the share of arrivals
    private static final int MIN_PREFERRED = 2; // a choice by load needs two
    private static final double MAX_LOAD_FACTOR = 2; // of the even load; a holder above it is not chosen
    private static final int MAX_GROUPS = 4096; // number of groups above which unused ones are discarded
    private static final double MIN_ARRIVALS = 0.1; // arrival count below which an unused group is discarded
    private static final double LOG_BOUND = 1 - 1e-9; // -log(u) >= 1 - u; the factor covers the rounding error

    /**
     * Returns the group of a request in its pool, creating it if needed, or null if the request has none. May discard
     * unused groups.
     */
    ConnectionGroup groupOf(long nowUs, RequestState request) {
        String name = request.arrival.group();
        if (!settings.current().groupAffinity() || name == null) {
            return null;
        }
        Map<String, ConnectionGroup> groups = request.pool.groups;
        if (groups.size() > MAX_GROUPS) {
            groups.values().removeIf(group -> group.holders.isEmpty() && group.arrivals.at(nowUs) < MIN_ARRIVALS);
        }
        return groups.computeIfAbsent(name, n -> new ConnectionGroup(n, MIN_PREFERRED, ARRIVALS_TIME_CONSTANT_US));
    }

    /** An endpoint that holds connections of the group and has capacity for more, or null. */
    EndpointState chooseHolder(long nowUs, RequestState request, ConnectionGroup group) {
        if (group == null || group.holders.isEmpty()) {
            return null;
        }
        EndpointState first = randomHolder(group);
        EndpointState second = averageLoads.isEmpty() ? first : randomHolder(group);
        boolean comparesSecond = second != first && hasGroupCapacity(nowUs, request, second);
        EndpointState chosen = comparesSecond ? EndpointEvaluator.lessLoaded(request, first, second) : first;
        return hasGroupCapacity(nowUs, request, chosen) ? chosen : null;
    }

    private EndpointState randomHolder(ConnectionGroup group) {
        return group.holders.get(random.nextInt(group.holders.size()));
    }

    /**
     * Whether a holder is usable, not ejected, below its pending limit and not above the maximum load. If latencies are
     * reported but loads are not, the maximum load does not apply, as ejection for high latency bounds the load.
     */
    private boolean hasGroupCapacity(long nowUs, RequestState request, EndpointState endpoint) {
        return evaluator.isUsable(nowUs, request, endpoint)
                && nowUs >= endpoint.ejectedUntilUs
                && endpoint.pending < endpoint.pendingLimit
                && ((outlierEjection.hasLatencyReports() && averageLoads.isEmpty())
                        || endpoint.openLoad + request.load <= MAX_LOAD_FACTOR * evenLoad(request, endpoint));
    }

    /** The endpoint's share of the load by weight; the endpoint must have been listed. */
    private static double evenLoad(RequestState request, EndpointState endpoint) {
        EndpointPool pool = request.pool;
        return (pool.load + request.load) * endpoint.weight() / pool.nonZeroWeight();
    }

    /**
     * Number of preferred endpoints, at least two: in proportion to the group's share of the arrivals, with Laplace
     * smoothing, as the share of a new group must not be 0.
     */
    int preferredCount(long nowUs, EndpointPool pool, ConnectionGroup group) {
        double share = (group.arrivals.at(nowUs) + 1) / (pool.groupArrivals.at(nowUs) + pool.groups.size());
        int count = (int) Math.round(PREFERRED_SHARE * share * pool.ready.size());
        return Math.max(MIN_PREFERRED, Math.min(pool.ready.size(), count));
    }

    /**
     * The preferred endpoint of this rank, by weighted rendezvous hashing, so that all balancers compute the same one.
     */
    EndpointState preferred(EndpointPool pool, ConnectionGroup group, int rank) {
        EndpointState best = group.preferred(rank, pool.version);
        if (best != null) {
            return best;
        }
        double lowestScore = Double.MAX_VALUE;
        long series = Hashing.series(group.hash, rank);
        for (int i = 0; i < pool.ready.size(); i++) {
            EndpointState endpoint = pool.ready.get(i);
            double uniform = Hashing.uniform(series, endpoint.hash);
            double weight = endpoint.weight();
            if ((1 - uniform) * LOG_BOUND < lowestScore * weight && -Math.log(uniform) / weight < lowestScore) {
                lowestScore = -Math.log(uniform) / weight;
                best = endpoint;
            }
        }
        group.setPreferred(rank, best);
        return best;
    }
}
