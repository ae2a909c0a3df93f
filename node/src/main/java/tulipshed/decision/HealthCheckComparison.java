package tulipshed.decision;

import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.LoadReportSource;

/** Compares two candidates by current load reports where health checks are cheap. */
record HealthCheckComparison(
        ActiveSettings settings, EndpointEvaluator evaluator, RequestTable requests, BalancerActions actions) {
    /** Longest wait for the load reports of two candidates, in microseconds. */
    static final long WAIT_US = 150_000;

    private static final long REPORT_VALID_US = 1_000_000;
    /** Price of one health check per request, from which on candidates are not compared. */
    private static final double MAX_PRICE = 0.01;

    private static final int MIN_WAITS_LEFT = 4; // until the deadline, to start a comparison

    /** Starts the comparison of two candidates if it is worth its price; returns whether it was started. */
    boolean start(long nowUs, RequestState request, EndpointState first, EndpointState second) {
        boolean inTime = request.deadlineUs - nowUs > MIN_WAITS_LEFT * WAIT_US;
        if (request.healthChecked || !inTime || !isEnabled()) {
            return false;
        }
        request.awaitHealthChecks(first, second, check(nowUs, first) + check(nowUs, second));
        requests.addAwaiting(request);
        return true;
    }

    private boolean isEnabled() {
        BalancerSettings current = settings.current();
        return current.limits().healthChecks()
                && current.loadReportSource() == LoadReportSource.HEALTH_CHECKS
                && current.prices().healthCheck() < MAX_PRICE;
    }

    private int check(long nowUs, EndpointState endpoint) {
        if (nowUs - endpoint.loadReportedAtUs < REPORT_VALID_US) {
            return 0;
        }
        actions.startHealthCheck(endpoint.name);
        return 1;
    }

    /**
     * Ends the comparison and returns the candidate with the lower reported load. If a report is missing or too old,
     * their loads from this balancer are compared. If only one candidate is still usable, returns that one; if neither
     * is, returns null.
     */
    EndpointState finish(long nowUs, RequestState request) {
        EndpointState first = request.firstCandidate;
        EndpointState second = request.secondCandidate;
        request.clearCandidates();
        requests.removeAwaiting(request);
        if (!evaluator.isUsable(nowUs, request, first)) {
            return evaluator.isUsable(nowUs, request, second) ? second : null;
        } else if (!evaluator.isUsable(nowUs, request, second)) {
            return first;
        }
        long olderReportUs = Math.min(first.loadReportedAtUs, second.loadReportedAtUs);
        if (nowUs - olderReportUs >= REPORT_VALID_US + WAIT_US) {
            return EndpointEvaluator.lessLoaded(request, first, second);
        }
        return second.reportedLoad < first.reportedLoad ? second : first;
    }
}
