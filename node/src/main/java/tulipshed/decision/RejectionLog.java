package tulipshed.decision;

import tulipshed.decision.api.BalancerActions;

/** Logs rejections of requests, at most one line per ten seconds. Confined to the event-loop thread. */
final class RejectionLog {
    private static final long INTERVAL_US = 10_000_000;

    private final BalancerActions actions;
    private long nextLineUs = Long.MIN_VALUE;

    RejectionLog(BalancerActions actions) {
        this.actions = actions;
    }

    /** Logs the state of the pool of a rejected request, unless a line was logged within the interval. */
    void logRejection(long nowUs, EndpointPool pool) {
        if (nowUs >= nextLineUs) {
            nextLineUs = nowUs + INTERVAL_US;
            actions.log("rejecting requests: " + pool.ejected.size() + " of " + pool.observed.size()
                    + " known endpoints ejected, " + pool.failing + " failing");
        }
    }
}
