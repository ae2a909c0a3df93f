package tulipshed.decision;

import java.util.SplittableRandom;

/** Chooses the endpoint of an attempt; {@code averageSetupUs} holds the mean setup times by request class. */
record Placement(
        ActiveSettings settings,
        EndpointTable endpoints,
        SlowStart slowStart,
        OutlierEjection outlierEjection,
        EndpointEvaluator evaluator,
        GroupAffinity groupAffinity,
        ConnectionReuse connectionReuse,
        HealthCheckComparison healthCheckComparison,
        MovingAverages averageSetupUs,
        SplittableRandom random) {
    static final double SETUP_TIME_GAIN = 0.1; // weight of a setup time in the average of its class
    private static final int MAX_DRAWS = 12; // of a candidate before the sequential search, and redraws by weight
    private static final int MAX_SEARCHED = 64; // endpoints tried by the sequential search
    private static final int MAX_WARMING_SEARCHED = 32; // warming endpoints tried per request
    private static final double EQUAL_SPEED_OBSERVATIONS = 4; // weight of the prior assumption of equal machine types
    private static final double MAX_RELATIVE_SETUP_TIME = 3; // bounds the effect of a single pause

    /** Records a connection setup time, from which the speed of the machine type is estimated. */
    void recordSetup(RequestState request, long setupTimeUs) {
        double averageUs = averageSetupUs.add(request.requestClass.name(), setupTimeUs);
        request.endpoint.machineType.recordSetup(
                Math.min(MAX_RELATIVE_SETUP_TIME, setupTimeUs / Math.max(1, averageUs)));
    }

    /** Returns the endpoint for the next attempt, or null if there is none now or health checks are pending. */
    EndpointState choose(long nowUs, RequestState request) {
        EndpointState compared = request.firstCandidate == null ? null : healthCheckComparison.finish(nowUs, request);
        if (compared != null || request.pool.ready.isEmpty()) {
            return compared;
        }
        endpoints.updateWeights(request.pool, EQUAL_SPEED_OBSERVATIONS);
        ConnectionGroup group = groupAffinity.groupOf(nowUs, request);
        // With random draws alone, endpoints that become ready together would receive too few connections.
        EndpointState warming = findWarming(nowUs, request);
        // Holders come first: the first connection of a group is more expensive for an endpoint, and a warming endpoint
        // has little spare capacity.
        EndpointState holder = groupAffinity.chooseHolder(nowUs, request, group);
        if (holder != null) {
            return holder;
        }
        EndpointState reused = warming == null ? connectionReuse.take(nowUs, request) : null;
        return reused != null ? reused : chooseLessLoaded(nowUs, request, group, warming);
    }

    private EndpointState chooseLessLoaded(
            long nowUs, RequestState request, ConnectionGroup group, EndpointState warming) {
        EndpointState first = warming != null ? warming : draw(nowUs, request, group, null);
        if (first == null) {
            return findSequentially(nowUs, request);
        }
        EndpointState second = draw(nowUs, request, group, first);
        if (second == null) {
            return first;
        }
        if (healthCheckComparison.start(nowUs, request, first, second)) {
            return request.pendingHealthChecks > 0 ? null : choose(nowUs, request);
        }
        return EndpointEvaluator.lessLoaded(request, first, second);
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

    /**
     * Draws one of the group's preferred endpoints, or by weight without a group. Where crossing zones has a price, the
     * first attempt is drawn from the same zone first; retries are not, as all endpoints of a zone may fail together.
     */
    private EndpointState drawPreferred(RequestState request, ConnectionGroup group, int preferredCount) {
        EndpointPool pool = request.pool;
        if (group != null) {
            return groupAffinity.preferred(pool, group, random.nextInt(preferredCount));
        }
        boolean crossingHasPrice = settings.current().prices().crossZone() > 0;
        boolean staysInZone = crossingHasPrice && request.attempts == 0 && !pool.sameZone.isEmpty();
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

    /**
     * Searches for a permitted endpoint, ejected or not. An unresponsive one is chosen for the first attempt only, as
     * retries would otherwise go only to such endpoints.
     */
    private EndpointState findSequentially(long nowUs, RequestState request) {
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
