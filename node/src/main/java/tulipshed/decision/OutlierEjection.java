package tulipshed.decision;

import java.util.SplittableRandom;
import tulipshed.decision.api.Outcome;

/** Ejects endpoints that fail, are full or have late messages. Confined to the event-loop thread. */
final class OutlierEjection {
    /** Ejection for late messages; the load moves back and forth between endpoints if it is shorter. */
    static final long LATE_EJECTION_US = 8_000_000;
    /** How long a reported latency is current; reports come once a second. */
    static final long LATENCY_VALID_US = 1_500_000;

    private static final long FULL_EJECTION_US = 500_000; // a full queue drains soon
    private static final long FIRST_FAILURE_EJECTION_US = 2_000_000; // doubled with each consecutive ejection
    private static final int MAX_DOUBLINGS = 3; // 16 s: by then the endpoint list tells of a dead endpoint
    private static final int MIN_CONSECUTIVE_RESETS = 2; // a single reset tells nothing
    private static final long FAILURE_WINDOW_US = 5_000_000; // between failures that count as consecutive
    private static final double SLOW_SHARE_OF_OBJECTIVE = 0.34; // latency from which an endpoint is ejected
    private static final double MIN_ELIGIBLE_SHARE = 0.5; // with fewer, ejections other than for failures are ignored
    private static final double MIN_JITTER = 0.75; // keeps balancers from returning to an endpoint at the same time
    private static final double JITTER_RANGE = 0.5;

    private final ActiveSettings settings;
    private final SplittableRandom random;
    private boolean hasLatencyReports;

    OutlierEjection(ActiveSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Whether any latency was reported so far; settings that promise reports are no proof of them. */
    boolean hasLatencyReports() {
        return hasLatencyReports;
    }

    /** Whether an endpoint is ready and not ejected, or its ejection is ignored as most are ejected. */
    boolean isEligible(long now, EndpointPool pool, EndpointState endpoint) {
        boolean ignoresEjections =
                pool.ejected.size() - pool.failing > (pool.ready.size() - pool.failing) * (1 - MIN_ELIGIBLE_SHARE);
        return pool.ready.has(endpoint)
                && (now >= endpoint.ejectedUntilUs || (ignoresEjections && isResponsive(now, endpoint)));
    }

    /** Whether an endpoint neither fails nor is late, be it ejected or not. */
    boolean isResponsive(long now, EndpointState endpoint) {
        return !endpoint.failing && !isLate(now, endpoint);
    }

    /** The number of ready endpoints of a pool that are not eligible; all of them are ejected. */
    int countIneligible(long now, EndpointPool pool) {
        int count = 0;
        for (int i = 0; i < pool.ejected.size(); i++) {
            count += isEligible(now, pool, pool.ejected.get(i)) ? 0 : 1;
        }
        return count;
    }

    /** Whether messages are at present later than the shortest objective. */
    boolean isLate(long now, EndpointState endpoint) {
        return now - endpoint.latencyReportedAtUs < LATENCY_VALID_US
                && endpoint.latencyMs > settings.shortestMessageLatencyObjectiveMs();
    }

    /** Takes a reported latency; ejects before messages are late, as connections under way still arrive. */
    void recordLatency(long now, EndpointState endpoint, double latencyMs) {
        hasLatencyReports = true;
        endpoint.latencyMs = latencyMs;
        endpoint.latencyReportedAtUs = now;
        if (latencyMs > SLOW_SHARE_OF_OBJECTIVE * settings.shortestMessageLatencyObjectiveMs()) {
            eject(now, endpoint, LATE_EJECTION_US);
        }
    }

    /**
     * Takes the outcome of an attempt that took so long; an unreachable or silent endpoint is ejected at the first failure.
     * Silence during an attempt too short to be worth its cost says nothing: endpoints may drop what has so little time.
     */
    void recordOutcome(long now, EndpointState endpoint, Outcome outcome, long tookUs) {
        if (outcome == Outcome.TIMEOUT && tookUs < RetryPolicy.MIN_ATTEMPT_US) {
            return;
        }
        switch (outcome) {
            case OK -> endpoint.clearFailures();
            case FULL -> eject(now, endpoint, FULL_EJECTION_US);
            case RESET -> recordFailure(now, endpoint, MIN_CONSECUTIVE_RESETS);
            case CONNECT_FAILED, TIMEOUT -> recordFailure(now, endpoint, 1);
            default -> {}
        }
    }

    /** Takes the outcome of a health check, which does not count as a failure of an attempt. */
    void recordHealthCheck(long now, EndpointState endpoint, Outcome outcome, double load) {
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.TIMEOUT) {
            eject(now, endpoint, FIRST_FAILURE_EJECTION_US);
        } else {
            endpoint.setReportedLoad(now, load);
        }
    }

    /** Failures during an ejection count as part of it: an endpoint that dies breaks many connections at once. */
    private void recordFailure(long now, EndpointState endpoint, int minFailures) {
        boolean consecutive = now - endpoint.failedAtUs < FAILURE_WINDOW_US;
        endpoint.consecutiveFailures = consecutive ? endpoint.consecutiveFailures + 1 : 1;
        endpoint.failedAtUs = now;
        boolean alreadyEjected = endpoint.failing && now < endpoint.ejectedUntilUs;
        if (endpoint.isReady() && !alreadyEjected && endpoint.consecutiveFailures >= minFailures) {
            eject(now, endpoint, FIRST_FAILURE_EJECTION_US << Math.min(endpoint.consecutiveEjections, MAX_DOUBLINGS));
            endpoint.consecutiveEjections++;
            endpoint.markFailing();
        }
    }

    private void eject(long now, EndpointState endpoint, long durationUs) {
        if (endpoint.isReady()) {
            endpoint.markEjected(now + (long) (durationUs * (MIN_JITTER + JITTER_RANGE * random.nextDouble())));
        }
    }
}
