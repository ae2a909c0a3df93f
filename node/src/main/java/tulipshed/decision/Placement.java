package tulipshed.decision;

import java.util.SplittableRandom;

/** Chooses the endpoint of an attempt; {@code averageSetupUs} has the mean setup times by request class. */
record Placement(
        ActiveSettings settings,
        EndpointTable endpoints,
        SlowStart slowStart,
        OutlierEjection outlierEjection,
        EndpointEvaluator evaluator,
        GroupAffinity groupAffinity,
        ConnectionReuse connectionReuse,
        HealthCheckComparison healthChecks,
        MovingAverages averageSetupUs,
        SplittableRandom random) {
    static final double SETUP_TIME_GAIN = 0.1; // weight of a setup time in the average of its class
    private static final int MAX_DRAWS = 12; // random draws by weight, and of a candidate before the search in order
    private static final int MAX_SEARCHED = 64; // endpoints searched in order
    private static final int MAX_WARMING_SEARCHED = 32; // warming endpoints searched
    private static final double EQUAL_SPEED_OBSERVATIONS = 4; // weight of the assumption of equal machine types
    private static final double MAX_RELATIVE_SETUP_TIME = 3; // bounds the effect of a single pause

    /** Learns the speed of a machine type from the setup time of a connection. */
    void recordSetup(RequestState request, long tookUs) {
        double averageUs = averageSetupUs.add(request.requestClass.name(), tookUs);
        request.endpoint.machineType.recordSetup(Math.min(MAX_RELATIVE_SETUP_TIME, tookUs / Math.max(1, averageUs)));
    }

    /** The endpoint for the next attempt; null if there is none now or health checks are pending. */
    EndpointState choose(long nowUs, RequestState request) {
        EndpointState compared = request.firstCandidate == null ? null : healthChecks.finish(nowUs, request);
        if (compared != null || request.pool.ready.isEmpty()) {
            return compared;
        }
        endpoints.updateWeights(request.pool, EQUAL_SPEED_OBSERVATIONS);
        ConnectionGroup group = groupAffinity.groupOf(nowUs, request);
        // Random draws alone would leave endpoints empty that become ready together.
        EndpointState warming = findWarming(nowUs, request);
        // Holders go first: the first connection of a group costs an endpoint extra, which a warming one can least
        // afford.
        EndpointState holder = groupAffinity.chooseHolder(nowUs, request, group);
        if (holder != null) {
            return holder;
        }
        EndpointState reused = warming == null ? connectionReuse.take(nowUs, request) : null;
        return reused != null ? reused : chooseLighter(nowUs, request, group, warming);
    }

    private EndpointState chooseLighter(
            long nowUs, RequestState request, ConnectionGroup group, EndpointState warming) {
        EndpointState first = warming != null ? warming : draw(nowUs, request, group, null);
        if (first == null) {
            return findInOrder(nowUs, request);
        }
        EndpointState second = draw(nowUs, request, group, first);
        if (second == null) {
            return first;
        }
        if (healthChecks.start(nowUs, request, first, second)) {
            return request.pendingHealthChecks > 0 ? null : choose(nowUs, request);
        }
        return EndpointEvaluator.lighter(request, first, second);
    }

    private EndpointState draw(long nowUs, RequestState request, ConnectionGroup group, EndpointState other) {
        int preferredCount = group == null ? 0 : groupAffinity.preferredCount(nowUs, request.pool, group);
        for (int i = 0; i < MAX_DRAWS; i++) {
            EndpointState endpoint = i < MAX_DRAWS / 2
                    ? drawPreferred(request, group, preferredCount)
                    : drawByWeight(request.pool.ready);
            if (endpoint != other && evaluator.isUsable(nowUs, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    /** One of the group's endpoints, or at the first attempt of the same zone, as a zone may fail as a whole. */
    private EndpointState drawPreferred(RequestState request, ConnectionGroup group, int preferredCount) {
        EndpointPool pool = request.pool;
        if (group != null) {
            return groupAffinity.preferred(pool, group, random.nextInt(preferredCount));
        }
        boolean crossingCosts = settings.current().prices().crossZone() > 0;
        boolean staysInZone = crossingCosts && request.attempts == 0 && !pool.sameZone.isEmpty();
        return drawByWeight(staysInZone ? pool.sameZone : pool.ready);
    }

    private EndpointState drawByWeight(IndexedSet<EndpointState> from) {
        EndpointState endpoint = from.get(random.nextInt(from.size()));
        double highest = endpoints.highestWeight();
        for (int i = 0; i < MAX_DRAWS && random.nextDouble() * highest > endpoint.listedWeight(); i++) {
            endpoint = from.get(random.nextInt(from.size()));
        }
        return endpoint;
    }

    /** A permitted endpoint even if ejected; an unresponsive one only at first, so that retries do not go only to such. */
    private EndpointState findInOrder(long nowUs, RequestState request) {
        IndexedSet<EndpointState> ready = request.pool.ready;
        EndpointState unresponsive = null;
        int start = random.nextInt(ready.size());
        for (int i = 0; i < MAX_SEARCHED && i < ready.size(); i++) {
            EndpointState endpoint = ready.get((start + i) % ready.size());
            if (evaluator.isPermitted(nowUs, request, endpoint)) {
                if (outlierEjection.isResponsive(nowUs, endpoint)) {
                    return endpoint;
                }
                unresponsive = endpoint;
            }
        }
        return request.attempts == 0 ? unresponsive : null;
    }

    private EndpointState findWarming(long nowUs, RequestState request) {
        IndexedSet<EndpointState> warming = request.pool.warming;
        int start = random.nextInt(Math.max(1, warming.size()));
        for (int i = 0; i < MAX_WARMING_SEARCHED && i < warming.size(); i++) {
            EndpointState endpoint = warming.get((start + i) % warming.size());
            if (!slowStart.isRecentlyStarted(nowUs, endpoint)) {
                endpoint.clearWarming();
                return null;
            }
            if (evaluator.isUsable(nowUs, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }
}
