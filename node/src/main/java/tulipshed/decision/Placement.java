package tulipshed.decision;

import java.util.SplittableRandom;

/** Chooses the endpoint of an attempt, as a rule the less loaded of two random ones. Confined to the event-loop thread. */
final class Placement {
    private static final int DRAWS = 12; // of an endpoint by weight, and of a candidate before the search in order
    private static final int MAX_SEARCHED = 64; // endpoints in order; the next attempt sees others
    private static final int MAX_WARMING_SEARCHED = 32; // finds credit with half of the endpoints warming
    private static final double EQUAL_SPEED_OBSERVATIONS = 4; // weight of the assumption of equal machine types
    private static final double SETUP_TIME_GAIN = 0.1; // of a setup time in the average of its class
    private static final double MAX_RELATIVE_SETUP_TIME = 3; // one pause says nothing of the machine type

    private final ActiveSettings settings;
    private final EndpointTable endpoints;
    private final EndpointPool allEndpoints;
    private final Rules rules;
    private final SplittableRandom random;
    private final MovingAverages averageSetupUs = new MovingAverages(SETUP_TIME_GAIN);
    private double highestSpeed;

    /** The parts that a placement asks. */
    record Rules(
            SlowStart slowStart,
            OutlierEjection outlierEjection,
            EndpointEvaluator evaluator,
            GroupAffinity groupAffinity,
            ConnectionReuse connectionReuse,
            HealthCheckComparison healthChecks) {}

    Placement(
            ActiveSettings settings,
            EndpointTable endpoints,
            EndpointPool allEndpoints,
            Rules rules,
            SplittableRandom random) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.allEndpoints = allEndpoints;
        this.rules = rules;
        this.random = random;
    }

    /** Learns the speed of a machine type from the setup time of a connection. */
    void recordSetup(RequestState request, long tookUs) {
        double averageUs = averageSetupUs.add(request.requestClass.name(), tookUs);
        request.endpoint.machineType.recordSetup(Math.min(MAX_RELATIVE_SETUP_TIME, tookUs / Math.max(1, averageUs)));
    }

    /** The endpoint for the next attempt; null if there is none now or health checks are pending. */
    EndpointState choose(long now, RequestState request) {
        EndpointState compared = request.firstCandidate == null ? null : rules.healthChecks.finish(now, request);
        if (compared != null || request.pool.ready.isEmpty()) {
            return compared;
        }
        updateWeights(request.pool);
        ConnectionGroup group = rules.groupAffinity.groupOf(now, request);
        // Endpoints that become ready together would stay empty if they were left to the random draws.
        EndpointState warming = findWarming(now, request);
        // Holders go first: an endpoint new to a group has its cost once more, and a warming one can bear it least.
        EndpointState holder = rules.groupAffinity.chooseHolder(now, request, group);
        if (holder != null) {
            return holder;
        }
        EndpointState reused = warming == null ? rules.connectionReuse.take(now, request) : null;
        return reused != null ? reused : chooseLighter(now, request, group, warming);
    }

    private void updateWeights(EndpointPool pool) {
        highestSpeed = MachineType.estimateSpeeds(endpoints.machineTypes(), EQUAL_SPEED_OBSERVATIONS);
        allEndpoints.updateWeight(endpoints.machineTypes());
        pool.updateWeight(endpoints.machineTypes());
    }

    private EndpointState chooseLighter(long now, RequestState request, ConnectionGroup group, EndpointState warming) {
        EndpointState first = warming != null ? warming : draw(now, request, group, null);
        if (first == null) {
            return findInOrder(now, request);
        }
        EndpointState second = draw(now, request, group, first);
        if (second == null) {
            return first;
        }
        if (rules.healthChecks.start(now, request, first, second)) {
            return request.pendingHealthChecks > 0 ? null : choose(now, request);
        }
        return EndpointEvaluator.isLighter(request, second, first) ? second : first;
    }

    private EndpointState draw(long now, RequestState request, ConnectionGroup group, EndpointState other) {
        int preferredCount = group == null ? 0 : rules.groupAffinity.preferredCount(now, request.pool, group);
        for (int i = 0; i < DRAWS; i++) {
            EndpointState endpoint =
                    i < DRAWS / 2 ? drawPreferred(request, group, preferredCount) : drawByWeight(request.pool.ready);
            if (endpoint != other && rules.evaluator.isUsable(now, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    /** One of the group's endpoints, or of the same zone; the zone only at first, as it may fail as a whole. */
    private EndpointState drawPreferred(RequestState request, ConnectionGroup group, int preferredCount) {
        EndpointPool pool = request.pool;
        if (group != null) {
            return rules.groupAffinity.preferred(pool, group, random.nextInt(preferredCount));
        }
        boolean staysInZone =
                settings.current().prices().crossZone() > 0 && request.attempts == 0 && !pool.sameZone.isEmpty();
        return drawByWeight(staysInZone ? pool.sameZone : pool.ready);
    }

    private EndpointState drawByWeight(IndexedSet<EndpointState> from) {
        EndpointState endpoint = from.get(random.nextInt(from.size()));
        double highestWeight = endpoints.largestWeight() * highestSpeed;
        for (int i = 0; i < DRAWS && random.nextDouble() * highestWeight > listedWeight(endpoint); i++) {
            endpoint = from.get(random.nextInt(from.size()));
        }
        return endpoint;
    }

    private static double listedWeight(EndpointState endpoint) {
        return endpoint.info.weight() * endpoint.machineType.speed;
    }

    /**
     * The first permitted endpoint from a random one on, even if it is ejected. One that fails or is late only for a
     * first attempt: retries would spend all attempts on such endpoints within a moment.
     */
    private EndpointState findInOrder(long now, RequestState request) {
        IndexedSet<EndpointState> ready = request.pool.ready;
        EndpointState lastResort = null;
        int start = random.nextInt(ready.size());
        for (int i = 0; i < MAX_SEARCHED && i < ready.size(); i++) {
            EndpointState endpoint = ready.get((start + i) % ready.size());
            if (rules.evaluator.isPermitted(now, request, endpoint)) {
                if (!endpoint.failing && !rules.outlierEjection.isLate(now, endpoint)) {
                    return endpoint;
                }
                lastResort = endpoint;
            }
        }
        return request.attempts == 0 ? lastResort : null;
    }

    private EndpointState findWarming(long now, RequestState request) {
        IndexedSet<EndpointState> warming = request.pool.warming;
        int start = random.nextInt(Math.max(1, warming.size()));
        for (int i = 0; i < MAX_WARMING_SEARCHED && i < warming.size(); i++) {
            EndpointState endpoint = warming.get((start + i) % warming.size());
            if (!rules.slowStart.isRecentlyStarted(now, endpoint)) {
                endpoint.clearWarming();
                return null;
            }
            if (rules.evaluator.isUsable(now, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }
}
