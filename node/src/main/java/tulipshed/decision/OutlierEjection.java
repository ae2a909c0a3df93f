package tulipshed.decision;

import java.util.SplittableRandom;
import tulipshed.decision.api.Outcome;

/**
 * Ejects endpoints that fail, are full or approach the message latency objective. Confined to the event-loop thread.
 */
final class OutlierEjection {
    /** Ejection for high latency; with shorter ejections the load oscillates between endpoints. */
    static final long LATENCY_EJECTION_US = 8_000_000;
    /** How long a reported latency is current, assuming one report per second. */
    static final long LATENCY_VALID_US = 1_500_000;

    private static final long FULL_EJECTION_US = 500_000; // a full queue drains soon
    private static final long FIRST_FAILURE_EJECTION_US = 2_000_000; // doubled with each consecutive ejection
    /** Limits an ejection to 16 s before jitter, at most 20 s; by then discovery has removed a failed endpoint. */
    private static final int MAX_DOUBLINGS = 3;

    private static final int MIN_CONSECUTIVE_RESETS = 2; // a single reset is no evidence of a fault
    private static final long FAILURE_WINDOW_US = 5_000_000; // maximum time between consecutive failures
    private static final double EJECTION_SHARE_OF_OBJECTIVE = 0.34; // latency above which an endpoint is ejected
    private static final double MIN_ELIGIBLE_SHARE = 0.5; // with fewer, ejections other than for failures are ignored
    private static final double MIN_JITTER = 0.75; // keeps balancers from using an endpoint again at the same time
    private static final double JITTER_RANGE = 0.5;

    private final ActiveSettings settings;
    private final SplittableRandom random;
    private boolean hasLatencyReports;

    OutlierEjection(ActiveSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Whether any latency was reported so far; the settings alone do not guarantee that there are reports. */
    boolean hasLatencyReports() {
        return hasLatencyReports;
    }

    /** Whether an endpoint is ready and not ejected, or responsive with ejections ignored because most are ejected. */
    boolean isEligible(long nowUs, EndpointPool pool, EndpointState endpoint) {
        boolean ignoresEjections =
                pool.ejected.size() - pool.failing > (pool.ready.size() - pool.failing) * (1 - MIN_ELIGIBLE_SHARE);
        return pool.ready.has(endpoint)
                && (nowUs >= endpoint.ejectedUntilUs || (ignoresEjections && isResponsive(nowUs, endpoint)));
    }

    /** Whether an endpoint neither fails nor exceeds the latency objective, regardless of ejection. */
    boolean isResponsive(long nowUs, EndpointState endpoint) {
        return !endpoint.failing && !exceedsLatencyObjective(nowUs, endpoint);
    }

    /** The number of ready endpoints of a pool that are not eligible; all of them are ejected. */
    int countIneligible(long nowUs, EndpointPool pool) {
        int count = 0;
        for (int i = 0; i < pool.ejected.size(); i++) {
            count += isEligible(nowUs, pool, pool.ejected.get(i)) ? 0 : 1;
        }
        return count;
    }

    /** Whether the current message latency exceeds the shortest objective of any class. */
    boolean exceedsLatencyObjective(long nowUs, EndpointState endpoint) {
        return nowUs - endpoint.latencyReportedAtUs < LATENCY_VALID_US
                && endpoint.latencyMs > settings.shortestMessageLatencyObjectiveMs();
    }

    /** Records a latency; ejects below the objective, as connections that are being established still add load. */
    void recordLatency(long nowUs, EndpointState endpoint, double latencyMs) {
        hasLatencyReports = true;
        endpoint.latencyMs = latencyMs;
        endpoint.latencyReportedAtUs = nowUs;
        if (latencyMs > EJECTION_SHARE_OF_OBJECTIVE * settings.shortestMessageLatencyObjectiveMs()) {
            eject(nowUs, endpoint, LATENCY_EJECTION_US);
        }
    }

    /**
     * Records the outcome of an attempt; an unreachable or unresponsive endpoint is ejected at the first failure. The
     * timeout of an attempt shorter than the minimum is ignored, as endpoints may drop requests with so little time
     * left.
     */
    void recordOutcome(long nowUs, EndpointState endpoint, Outcome outcome, long durationUs) {
        if (outcome == Outcome.TIMEOUT && durationUs < RetryPolicy.MIN_ATTEMPT_US) {
            return;
        }
        switch (outcome) {
            case OK -> endpoint.clearFailures();
            case FULL -> eject(nowUs, endpoint, FULL_EJECTION_US);
            case RESET -> recordFailure(nowUs, endpoint, MIN_CONSECUTIVE_RESETS);
            case CONNECT_FAILED, TIMEOUT -> recordFailure(nowUs, endpoint, 1);
            default -> {}
        }
    }

    /** Records the outcome of a health check, which does not count as a failure of an attempt. */
    void recordHealthCheck(long nowUs, EndpointState endpoint, Outcome outcome, double load) {
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.TIMEOUT) {
            eject(nowUs, endpoint, FIRST_FAILURE_EJECTION_US);
        } else {
            endpoint.setReportedLoad(nowUs, load);
        }
    }

    /** Failures during an ejection count as part of it: a failing endpoint resets many connections at once. */
    private void recordFailure(long nowUs, EndpointState endpoint, int minFailures) {
        boolean consecutive = nowUs - endpoint.failedAtUs < FAILURE_WINDOW_US;
        endpoint.consecutiveFailures = consecutive ? endpoint.consecutiveFailures + 1 : 1;
        endpoint.failedAtUs = nowUs;
        boolean alreadyEjected = endpoint.failing && nowUs < endpoint.ejectedUntilUs;
        if (endpoint.isReady() && !alreadyEjected && endpoint.consecutiveFailures >= minFailures) {
            eject(nowUs, endpoint, FIRST_FAILURE_EJECTION_US << Math.min(endpoint.consecutiveEjections, MAX_DOUBLINGS));
            endpoint.consecutiveEjections++;
            endpoint.markFailing();
        }
    }

    private void eject(long nowUs, EndpointState endpoint, long durationUs) {
        if (endpoint.isReady()) {
            endpoint.markEjected(nowUs + (long) (durationUs * (MIN_JITTER + JITTER_RANGE * random.nextDouble())));
        }
    }
}
