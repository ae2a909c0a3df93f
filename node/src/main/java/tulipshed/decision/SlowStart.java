package tulipshed.decision;

import tulipshed.decision.BalancerApi.ProtocolRules;

/**
 * Limits what endpoints that started recently are sent, so that a wave of arrivals cannot overload them. Confined to
 * the event-loop thread.
 */
final class SlowStart {
    private static final long WARMING_PERIODS = 2; // slow-start times during which an endpoint has spare capacity
    private static final double FILL_FACTOR =
            3; // of the others' mean load times the overload factor, gained in a period

    private final ActiveSettings settings;
    private final EndpointPool allEndpoints;

    SlowStart(ActiveSettings settings, EndpointPool allEndpoints) {
        this.settings = settings;
        this.allEndpoints = allEndpoints;
    }

    /** Whether an endpoint started so recently that slow start applies. */
    boolean isRecentlyStarted(long now, EndpointState endpoint) {
        return endpoint.ageUs(now)
                < WARMING_PERIODS * settings.current().rules().slowStartUs();
    }

    /** Starts the slow start of a ready endpoint, without credit, if it started recently. */
    void beginIfRecentlyStarted(long now, EndpointState endpoint) {
        if (isRecentlyStarted(now, endpoint) && !endpoint.isWarming()) {
            endpoint.markWarming();
            endpoint.slowStartCredit = 0;
            endpoint.slowStartCreditAtUs = now;
        }
    }

    /**
     * Whether an endpoint may not be sent this request yet. Its credit grows with the mean load of the others, ramped
     * by age. What is saved is bounded by the gain within the overload time, and a fraction of a connection is the
     * probability of one, so that the total over all balancers does not grow with their number.
     */
    boolean isLimitedBySlowStart(long now, RequestState request, EndpointState endpoint) {
        if (!endpoint.isWarming() || !isRecentlyStarted(now, endpoint)) {
            return false;
        }
        ProtocolRules rules = settings.current().rules();
        double creditPerUs = creditPerUs(rules, now, endpoint);
        endpoint.slowStartCredit = Math.min(
                creditPerUs * rules.overloadUs(),
                endpoint.slowStartCredit + creditPerUs * (now - endpoint.slowStartCreditAtUs));
        endpoint.slowStartCreditAtUs = now;
        return endpoint.slowStartCredit < 1
                && endpoint.slowStartCredit <= Hashing.uniform(request.randomHash, endpoint.hash, request.attempts);
    }

    private double creditPerUs(ProtocolRules rules, long now, EndpointState endpoint) {
        long slowStartUs = rules.slowStartUs();
        double startShare = rules.slowStartShare();
        double ramp =
                startShare + (1 - startShare) * Math.max(0, Math.min(endpoint.ageUs(now), slowStartUs)) / slowStartUs;
        // The quota stands for the total load where this balancer holds little yet.
        double openConnections = Math.max(allEndpoints.open, settings.quotaConnectionsPerNode());
        double evenConnections = openConnections * endpoint.weight() / Math.max(1e-9, allEndpoints.weight);
        return FILL_FACTOR * rules.overloadFactor() * evenConnections / slowStartUs * ramp * settings.quotaShare;
    }
}
