package tulipshed.decision;

import tulipshed.decision.api.ProtocolRules;

/** Limits what recently started endpoints are sent, so that a wave of arrivals cannot overload them. */
record SlowStart(ActiveSettings settings, EndpointPool allEndpoints) {
    private static final long WARMING_PERIODS = 2; // slow-start times during which an endpoint has spare capacity
    private static final double FILL_FACTOR = 3; // of even load times overload factor, gained in a slow-start time

    /** Whether an endpoint started so recently that slow start applies. */
    boolean isRecentlyStarted(long now, EndpointState endpoint) {
        return endpoint.ageUs(now)
                < WARMING_PERIODS * settings.current().rules().slowStartUs();
    }

    /** Starts the slow start of a ready endpoint if it started recently. */
    void beginIfRecentlyStarted(long now, EndpointState endpoint) {
        if (isRecentlyStarted(now, endpoint) && !endpoint.isWarming()) {
            endpoint.markWarming(now);
        }
    }

    /**
     * Whether an endpoint has no credit for this request. Credit is kept for no longer than the overload time, and a
     * fraction is the probability of a connection, so that the total over all balancers is independent of their number.
     */
    boolean isLimitedBySlowStart(long now, RequestState request, EndpointState endpoint) {
        if (!endpoint.isWarming() || !isRecentlyStarted(now, endpoint)) {
            return false;
        }
        double creditPerUs = creditPerUs(now, endpoint);
        endpoint.slowStartCredit = Math.min(
                creditPerUs * settings.current().rules().overloadUs(),
                endpoint.slowStartCredit + creditPerUs * (now - endpoint.slowStartCreditAtUs));
        endpoint.slowStartCreditAtUs = now;
        return endpoint.slowStartCredit < 1
                && endpoint.slowStartCredit <= Hashing.uniform(request.randomHash, endpoint.hash, request.attempts);
    }

    /** Connections gained a microsecond; the quota stands for the total where this balancer holds little yet. */
    private double creditPerUs(long now, EndpointState endpoint) {
        ProtocolRules rules = settings.current().rules();
        long fullUs = rules.slowStartUs();
        double start = rules.slowStartShare();
        double ramp = start + (1 - start) * Math.max(0, Math.min(endpoint.ageUs(now), fullUs)) / fullUs;
        double open = Math.max(allEndpoints.open, settings.quotaConnectionsPerNode());
        double evenOpen = open * endpoint.weight() / allEndpoints.nonZeroWeight();
        return FILL_FACTOR * rules.overloadFactor() * evenOpen / fullUs * ramp * settings.quotaShare;
    }
}
