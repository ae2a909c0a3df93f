package tulipshed.decision;

import tulipshed.decision.api.ProtocolRules;

/** Limits what recently started endpoints are sent, so that a wave of arrivals cannot overload them. */
record SlowStart(ActiveSettings settings, EndpointPool allEndpoints) {
    private static final long WARMING_PERIODS = 2; // slow-start times during which an endpoint has spare capacity
    /** Connections gained in a slow-start time, as a multiple of the even load times the overload factor. */
    private static final double FILL_FACTOR = 3;

    /** Whether an endpoint started so recently that slow start applies. */
    boolean isRecentlyStarted(long nowUs, EndpointState endpoint) {
        return endpoint.ageUs(nowUs)
                < WARMING_PERIODS * settings.current().rules().slowStartUs();
    }

    /** Starts the slow start of a ready endpoint if it started recently. */
    void beginIfRecentlyStarted(long nowUs, EndpointState endpoint) {
        if (isRecentlyStarted(nowUs, endpoint) && !endpoint.isWarming()) {
            endpoint.markWarming(nowUs);
        }
    }

    /**
     * Whether an endpoint has no credit for this request. Credit accumulates for no longer than the overload time, and a
     * fraction is the probability of a connection, so that the total over all balancers is independent of their number.
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

    /** Connections gained a microsecond; the quota replaces the total while this balancer has few connections. */
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
