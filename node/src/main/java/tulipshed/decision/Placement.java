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
    private static final int DRAWS = 12; // of an endpoint by weight, and of a candidate before the search in order
    private static final int MAX_SEARCHED = 64; // endpoints in order; the next attempt sees others
    private static final int MAX_WARMING_SEARCHED = 32; // finds credit with half of the endpoints warming
    private static final double EQUAL_SPEED_OBSERVATIONS = 4; // weight of the assumption of equal machine types
    private static final double MAX_RELATIVE_SETUP_TIME = 3; // one pause says nothing of the machine type

    /** Learns the speed of a machine type from the setup time of a connection. */
    void recordSetup(RequestState request, long tookUs) {
        double averageUs = averageSetupUs.add(request.requestClass.name(), tookUs);
        request.endpoint.machineType.recordSetup(Math.min(MAX_RELATIVE_SETUP_TIME, tookUs / Math.max(1, averageUs)));
    }

    /** The endpoint for the next attempt; null if there is none now or health checks are pending. */
    EndpointState choose(long now, RequestState request) {
        EndpointState compared = request.firstCandidate == null ? null : healthChecks.finish(now, request);
        if (compared != null || request.pool.ready.isEmpty()) {
            return compared;
        }
        endpoints.updateWeights(request.pool, EQUAL_SPEED_OBSERVATIONS);
        ConnectionGroup group = groupAffinity.groupOf(now, request);
        // Endpoints that become ready together would stay empty if they were left to the random draws.
        EndpointState warming = findWarming(now, request);
        // Holders go first: a group costs each new holder once more, and a warming one can bear that least.
        EndpointState holder = groupAffinity.chooseHolder(now, request, group);
        if (holder != null) {
            return holder;
        }
        EndpointState reused = warming == null ? connectionReuse.take(now, request) : null;
        return reused != null ? reused : chooseLighter(now, request, group, warming);
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
        if (healthChecks.start(now, request, first, second)) {
            return request.pendingHealthChecks > 0 ? null : choose(now, request);
        }
        return EndpointEvaluator.lighter(request, first, second);
    }

    private EndpointState draw(long now, RequestState request, ConnectionGroup group, EndpointState other) {
        int preferredCount = group == null ? 0 : groupAffinity.preferredCount(now, request.pool, group);
        for (int i = 0; i < DRAWS; i++) {
            EndpointState endpoint =
                    i < DRAWS / 2 ? drawPreferred(request, group, preferredCount) : drawByWeight(request.pool.ready);
            if (endpoint != other && evaluator.isUsable(now, request, endpoint)) {
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
        for (int i = 0; i < DRAWS && random.nextDouble() * highest > endpoint.listedWeight(); i++) {
            endpoint = from.get(random.nextInt(from.size()));
        }
        return endpoint;
    }

    /** A permitted endpoint even if ejected; an unresponsive one only at first, lest retries go to such alone. */
    private EndpointState findInOrder(long now, RequestState request) {
        IndexedSet<EndpointState> ready = request.pool.ready;
        EndpointState unresponsive = null;
        int start = random.nextInt(ready.size());
        for (int i = 0; i < MAX_SEARCHED && i < ready.size(); i++) {
            EndpointState endpoint = ready.get((start + i) % ready.size());
            if (evaluator.isPermitted(now, request, endpoint)) {
                if (outlierEjection.isResponsive(now, endpoint)) {
                    return endpoint;
                }
                unresponsive = endpoint;
            }
        }
        return request.attempts == 0 ? unresponsive : null;
    }

    private EndpointState findWarming(long now, RequestState request) {
        IndexedSet<EndpointState> warming = request.pool.warming;
        int start = random.nextInt(Math.max(1, warming.size()));
        for (int i = 0; i < MAX_WARMING_SEARCHED && i < warming.size(); i++) {
            EndpointState endpoint = warming.get((start + i) % warming.size());
            if (!slowStart.isRecentlyStarted(now, endpoint)) {
                endpoint.clearWarming();
                return null;
            }
            if (evaluator.isUsable(now, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }
}
