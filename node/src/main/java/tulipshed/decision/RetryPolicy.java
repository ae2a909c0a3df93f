package tulipshed.decision;

import java.util.SplittableRandom;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.Outcome;
import tulipshed.decision.api.SiteLimits;

/** Whether, where and for how long a request is attempted again, so that it never executes twice. */
record RetryPolicy(ActiveSettings settings, SplittableRandom random) {
    static final long MIN_ATTEMPT_US = 60_000; // with less time left an attempt is not worth its cost
    private static final double MIN_JITTER = 0.75;
    private static final double JITTER_RANGE = 0.25;

    /** Whether attempts, time and idempotency permit another attempt now. */
    boolean permitsAttempt(long nowUs, RequestState request) {
        return request.attempts < settings.current().limits().maxAttempts()
                && request.deadlineUs - nowUs > 0
                && (!request.mayHaveExecuted || permitsRepeat(nowUs, request));
    }

    private static boolean permitsRepeat(long nowUs, RequestState request) {
        return switch (request.requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case WITH_KEY -> nowUs < request.executedAtUs + request.requestClass.deduplicationWindowUs();
            case NOT_IDEMPOTENT -> false;
        };
    }

    /** Whether another attempt is worth its cost after one with this outcome. */
    boolean isRetryWorthwhile(long nowUs, RequestState request, Outcome outcome) {
        return outcome != Outcome.UNUSED && request.deadlineUs - nowUs >= MIN_ATTEMPT_US;
    }

    /** Whether the endpoint discards repeats of a request that may have executed, as far as the request needs it. */
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

    /** Whether the client may repeat the request: a rejection promises that this is harmless. */
    static boolean permitsRejection(RequestState request) {
        return !request.mayHaveExecuted || request.requestClass.isRepeatHarmless();
    }

    /** Time-out of the next attempt, which leaves time for another one; 0 for none. */
    long attemptTimeoutUs(long nowUs, RequestState request) {
        long leftUs = request.deadlineUs - nowUs;
        boolean last = request.attempts + 1 >= settings.current().limits().maxAttempts();
        return last || leftUs < 2 * MIN_ATTEMPT_US ? 0 : Math.max(leftUs / 2, MIN_ATTEMPT_US);
    }

    /** The time to give to a rejected client, within the site's limit and with jitter; 0 where none may be given. */
    long retryAfterUs(long wantedUs) {
        SiteLimits limits = settings.current().limits();
        double jitter = MIN_JITTER + JITTER_RANGE * random.nextDouble();
        return (long) (Math.min(wantedUs, limits.retryAfter() ? limits.maxRetryAfterUs() : 0) * jitter);
    }
}
