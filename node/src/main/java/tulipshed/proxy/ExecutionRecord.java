package tulipshed.proxy;

import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.RequestClass;
import tulipshed.time.Clock;

/**
 * Tracks whether a request may have executed at an endpoint, and whether the idempotency of its class then permits another
 * attempt or a rejection. Confined to the event-loop thread.
 */
final class ExecutionRecord {
    private RequestClass requestClass;
    /** Start time of the first attempt that may have executed; NaN if there is none. */
    private double firstExecutionMs = Double.NaN;

    /** Sets the class of the request, which later changes of the settings do not affect. */
    void setRequestClass(RequestClass assigned) {
        requestClass = assigned;
    }

    /** Returns the class of the request, null before it is set. */
    RequestClass requestClass() {
        return requestClass;
    }

    /** Records that the attempt started at {@code startedMs} may have executed; only the first such attempt is kept. */
    void recordExecution(double startedMs) {
        if (!mayHaveExecuted()) {
            firstExecutionMs = startedMs;
        }
    }

    /** Whether the request may have executed and its class forbids a second execution. */
    boolean forbidsRepetition(boolean attemptConnected) {
        return (mayHaveExecuted() || attemptConnected) && requestClass.idempotency() != Idempotency.IDEMPOTENT;
    }

    private boolean mayHaveExecuted() {
        return !Double.isNaN(firstExecutionMs);
    }

    /** Whether another attempt may be forwarded now without the risk of a second execution that the class forbids. */
    boolean permitsForwarding(double nowMs) {
        return !mayHaveExecuted()
                || switch (requestClass.idempotency()) {
                    case IDEMPOTENT -> true;
                    case WITH_KEY -> nowMs < firstExecutionMs + Clock.toMillis(requestClass.deduplicationWindowUs());
                    case NOT_IDEMPOTENT -> false;
                };
    }

    /**
     * Whether the request may be rejected; a rejection promises the client that a retry is harmless.
     *
     * @param attemptConnected whether the open attempt is connected and may be executing
     */
    boolean permitsRejection(boolean attemptConnected) {
        return requestClass.isSafeToRetry() || (!mayHaveExecuted() && !attemptConnected);
    }
}
