package tulipshed.decision;

import tulipshed.decision.api.BalancerActions;

/** Logs that requests are rejected, at most one line in ten seconds. Confined to the event-loop thread. */
final class RejectionLog {
    private static final long INTERVAL_US = 10_000_000;

    private final BalancerActions actions;
    private long nextUs = Long.MIN_VALUE;

    RejectionLog(BalancerActions actions) {
        this.actions = actions;
    }

    /** Logs the state of the pool whose request is rejected, unless the last line is recent. */
    void rejected(long nowUs, EndpointPool pool) {
        if (nowUs >= nextUs) {
            nextUs = nowUs + INTERVAL_US;
            actions.log("rejecting requests: " + pool.ejected.size() + " of " + pool.known.size()
                    + " known endpoints ejected, " + pool.failing + " failing");
        }
    }
}
