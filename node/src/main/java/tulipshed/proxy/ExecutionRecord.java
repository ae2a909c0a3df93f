package tulipshed.proxy;

import tulipshed.decision.api.RequestClass;
import tulipshed.time.Clock;

/**
 * Whether a request may have executed at an endpoint, and what its class permits because of that. Confined to the event-loop
 * thread.
 */
final class ExecutionRecord {
    private RequestClass requestClass;
    /** When the first attempt started that may have executed; NaN where none may have. */
    private double executedMs = Double.NaN;

    /** Fixes the class of the request. */
    void setRequestClass(RequestClass fixed) {
        requestClass = fixed;
    }

    /** Returns the class of the request, null before it is fixed. */
    RequestClass requestClass() {
        return requestClass;
    }

    /** Records that an attempt which started then may have executed; only the first one counts. */
    void recordExecution(double startedMs) {
        if (!mayHaveExecuted()) {
            executedMs = startedMs;
        }
    }

    private boolean mayHaveExecuted() {
        return !Double.isNaN(executedMs);
    }

    /** Whether an attempt may be forwarded now, given that earlier ones may have executed. */
    boolean permitsForwarding(double nowMs) {
        return !mayHaveExecuted()
                || switch (requestClass.idempotency()) {
                    case IDEMPOTENT -> true;
                    case WITH_KEY -> nowMs < executedMs + Clock.toMillis(requestClass.deduplicationWindowUs());
                    case NOT_IDEMPOTENT -> false;
                };
    }

    /**
     * Whether a rejection, which promises that a retry is harmless, is a correct response.
     *
     * @param attemptConnected whether an attempt is open that may be executing
     */
    boolean permitsRejection(boolean attemptConnected) {
        return requestClass.isSafeToRetry() || (!mayHaveExecuted() && !attemptConnected);
    }
}
