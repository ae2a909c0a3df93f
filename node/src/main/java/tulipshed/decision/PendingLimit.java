package tulipshed.decision;

import tulipshed.decision.api.Outcome;

/** Adapts the pending limit of an endpoint by additive increase, multiplicative decrease (AIMD). */
final class PendingLimit {
    /** Initial limit of an endpoint, without observations. */
    static final int INITIAL = 4;

    private static final int MAX_LIMIT = 64; // further acceptances are no evidence for a higher limit

    private PendingLimit() {}

    /** Raises the limit by one, as the endpoint accepted an attempt. */
    static void increase(EndpointState endpoint) {
        endpoint.setPendingLimit(Math.min(MAX_LIMIT, endpoint.pendingLimit + 1));
    }

    /** Updates the limit by the outcome of an attempt; {@code established} is whether it was established before. */
    static void recordOutcome(EndpointState endpoint, Outcome outcome, boolean established) {
        boolean failed = outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET;
        if (outcome == Outcome.OK && !established) {
            increase(endpoint);
        } else if (outcome == Outcome.FULL || (failed && !established)) {
            endpoint.setPendingLimit(Math.max(1, endpoint.pendingLimit / 2));
        }
    }
}
