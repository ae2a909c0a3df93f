package tulipshed.decision;

import java.util.ArrayList;
import java.util.List;
import tulipshed.decision.BalancerApi.Actions;
import tulipshed.decision.BalancerApi.LoadReportSource;
import tulipshed.decision.BalancerApi.Settings;

/** Compares two candidates by fresh load reports where health checks are cheap. Confined to the event-loop thread. */
final class HealthCheckComparison {
    /** Longest wait for the reports of two candidates. */
    static final long WAIT_US = 150_000;

    private static final long REPORT_VALID_US = 1_000_000;
    private static final double MAX_PRICE = 0.01; // of a health check, for each request
    private static final int MIN_WAITS_LEFT = 4; // until the deadline

    private final ActiveSettings settings;
    private final EndpointEvaluator evaluator;
    private final Actions actions;
    private final List<RequestState> waiting = new ArrayList<>();

    HealthCheckComparison(ActiveSettings settings, EndpointEvaluator evaluator, Actions actions) {
        this.settings = settings;
        this.evaluator = evaluator;
        this.actions = actions;
    }

    /** Starts the comparison of two candidates, if it pays; returns whether it did. */
    boolean start(long now, RequestState request, EndpointState first, EndpointState second) {
        if (request.healthChecked || !isEnabled() || request.deadlineUs - now <= MIN_WAITS_LEFT * WAIT_US) {
            return false;
        }
        request.healthChecked = true;
        request.firstCandidate = first;
        request.secondCandidate = second;
        request.pendingHealthChecks = check(now, first) + check(now, second);
        waiting.add(request);
        return true;
    }

    private boolean isEnabled() {
        Settings current = settings.current();
        return current.limits().healthChecks()
                && current.loadReportSource() == LoadReportSource.HEALTH_CHECKS
                && current.prices().healthCheck() < MAX_PRICE;
    }

    /** Starts a health check unless the last report is current; returns how many were started. */
    private int check(long now, EndpointState endpoint) {
        if (now - endpoint.loadReportedAtUs < REPORT_VALID_US) {
            return 0;
        }
        actions.startHealthCheck(endpoint.name);
        return 1;
    }

    /** Counts a completed health check and returns the requests that await no other one. */
    List<RequestState> recordCompleted(EndpointState endpoint) {
        List<RequestState> complete = new ArrayList<>();
        for (RequestState request : waiting) {
            boolean compared = request.firstCandidate == endpoint || request.secondCandidate == endpoint;
            if (compared && --request.pendingHealthChecks == 0) {
                complete.add(request);
            }
        }
        return complete;
    }

    /** The less loaded candidate by the reports that arrived, or null if neither is usable any more. */
    EndpointState finish(long now, RequestState request) {
        EndpointState first = request.firstCandidate;
        EndpointState second = request.secondCandidate;
        request.firstCandidate = request.secondCandidate = null;
        request.pendingHealthChecks = 0;
        waiting.remove(request);
        if (!evaluator.isUsable(now, request, first)) {
            return evaluator.isUsable(now, request, second) ? second : null;
        } else if (!evaluator.isUsable(now, request, second)) {
            return first;
        }
        long olderReportUs = Math.min(first.loadReportedAtUs, second.loadReportedAtUs);
        boolean takesSecond = now - olderReportUs < REPORT_VALID_US + WAIT_US
                ? second.reportedLoad < first.reportedLoad
                : EndpointEvaluator.isLighter(request, second, first);
        return takesSecond ? second : first;
    }

    /** Ends the wait of a request that is concluded. */
    void cancel(RequestState request) {
        waiting.remove(request);
    }
}
