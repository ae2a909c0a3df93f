package tulipshed.decision;

import tulipshed.decision.api.ProtocolRules;

/** Limits the connections to recently started endpoints, so that a burst of arrivals cannot overload them. */
record SlowStart(ActiveSettings settings, EndpointPool allEndpoints) {
    /** Slow-start periods after its start for which an endpoint is warming and has spare capacity. */
    private static final long WARMING_PERIODS = 2;
    /**
     * Credit per slow-start period at full capacity, as a multiple of the even number of connections times the overload
     * factor.
     */
    private static final double FILL_FACTOR = 3;

    /** Whether an endpoint started so recently that slow start applies. */
    boolean isRecentlyStarted(long nowUs, EndpointState endpoint) {
        return endpoint.ageUs(nowUs)
                < WARMING_PERIODS * settings.current().rules().slowStartUs();
    }

    /** Begins the slow start of a ready endpoint that started recently. */
    void beginIfRecentlyStarted(long nowUs, EndpointState endpoint) {
        if (isRecentlyStarted(nowUs, endpoint) && !endpoint.isWarming()) {
            endpoint.markWarming(nowUs);
        }
    }

    /**
     * Whether slow start applies to an endpoint and leaves no credit for this request. Credit accumulates for at most
     * the overload time. A credit below 1 is the probability that the request is permitted, so that the total over all
     * balancers does not depend on their number.
     */
    boolean isLimitedBySlowStart(long nowUs, RequestState request, EndpointState endpoint) {
        if (!endpoint.isWarming() || !isRecentlyStarted(nowUs, endpoint)) {
            return false;
        }
        double creditPerUs = creditPerUs(nowUs, endpoint);
        endpoint.slowStartCredit = Math.min(
                creditPerUs * settings.current().rules().overloadUs(),
                endpoint.slowStartCredit + creditPerUs * (nowUs - endpoint.slowStartCreditAtUs));
        endpoint.slowStartCreditAtUs = nowUs;
        return endpoint.slowStartCredit < 1
                && endpoint.slowStartCredit <= Hashing.uniform(request.randomHash, endpoint.hash, request.attempts);
    }

    /** Credit per microsecond; the quota replaces the number of open connections while this balancer has fewer. */
    private double creditPerUs(long nowUs, EndpointState endpoint) {
        ProtocolRules rules = settings.current().rules();
        long fullUs = rules.slowStartUs();
        double start = rules.slowStartShare();
        double ramp = start + (1 - start) * Math.max(0, Math.min(endpoint.ageUs(nowUs), fullUs)) / fullUs;
        double open = Math.max(allEndpoints.open, settings.quotaConnectionsPerNode());
        double evenOpen = open * endpoint.weight() / allEndpoints.nonZeroWeight();
        return FILL_FACTOR * rules.overloadFactor() * evenOpen / fullUs * ramp * settings.quotaShare;
    }
}
