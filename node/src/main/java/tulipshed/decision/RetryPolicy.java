package tulipshed.decision;

import java.util.SplittableRandom;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.Outcome;
import tulipshed.decision.api.SiteLimits;

/** Decides whether, where and with which timeout a request is retried, so that its effect never happens twice. */
record RetryPolicy(ActiveSettings settings, SplittableRandom random) {
    static final long MIN_ATTEMPT_US = 60_000; // an attempt with less time is not worth its cost
    private static final double MIN_JITTER = 0.75;
    private static final double JITTER_RANGE = 0.25;

    /** Whether attempts, time and idempotency permit another attempt now. */
    boolean permitsAttempt(long nowUs, RequestState request) {
        return request.attempts < settings.current().limits().maxAttempts()
                && request.deadlineUs - nowUs > 0
                && (!request.mayHaveExecuted || permitsReexecution(nowUs, request));
    }

    private static boolean permitsReexecution(long nowUs, RequestState request) {
        return switch (request.requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case WITH_KEY -> nowUs < request.executedAttemptStartedUs + request.requestClass.deduplicationWindowUs();
            case NOT_IDEMPOTENT -> false;
        };
    }

    /** Whether a retry is worth its cost after an attempt with this outcome. */
    boolean isRetryWorthwhile(long nowUs, RequestState request, Outcome outcome) {
        return outcome != Outcome.UNUSED && request.deadlineUs - nowUs >= MIN_ATTEMPT_US;
    }

    /** Whether the endpoint discards duplicates of the request, if the request relies on deduplication. */
    static boolean permitsEndpoint(RequestState request, EndpointState endpoint) {
        if (!request.mayHaveExecuted || request.requestClass.idempotency() != Idempotency.WITH_KEY) {
            return true;
        }
        return switch (request.requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> endpoint.info.zone().equals(request.executedOn.zone());
            case CELL -> endpoint.info.cell() == request.executedOn.cell();
        };
    }

    /**
     * Whether the request may be rejected, which tells the client that a retry is safe; with a key only within its
     * deduplication window.
     */
    static boolean permitsRejection(RequestState request) {
        return !request.mayHaveExecuted || request.requestClass.isSafeToRetry();
    }

    /**
     * Timeout of the next attempt, in microseconds, which leaves time for another one; 0 for none, if it is the last
     * attempt or too little time is left for two.
     */
    long attemptTimeoutUs(long nowUs, RequestState request) {
        long leftUs = request.deadlineUs - nowUs;
        boolean last = request.attempts + 1 >= settings.current().limits().maxAttempts();
        return last || leftUs < 2 * MIN_ATTEMPT_US ? 0 : Math.max(leftUs / 2, MIN_ATTEMPT_US);
    }

    /**
     * The Retry-After time for a rejected client, within the site's limit and with jitter; 0 if the site permits none.
     */
    long retryAfterUs(long wantedUs) {
        SiteLimits limits = settings.current().limits();
        double jitter = MIN_JITTER + JITTER_RANGE * random.nextDouble();
        return (long) (Math.min(wantedUs, limits.retryAfter() ? limits.maxRetryAfterUs() : 0) * jitter);
    }
}
