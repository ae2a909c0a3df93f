package tulipshed.decision.api;

/** Result of an attempt or health check. */
public enum Outcome {
    /** Completed. */
    OK(false),
    /** The endpoint reported an error. */
    ERROR(false),
    /** Rejected by the endpoint for lack of capacity. */
    FULL(true),
    /** No response in time. */
    TIMEOUT(false),
    /** The connection could not be opened. */
    CONNECT_FAILED(true),
    /** The connection was reset. */
    RESET(false),
    /** Cancelled by this balancer or its client. */
    CANCELLED(false),
    /** Never sent, for a reason unrelated to the endpoint. */
    UNUSED(true);

    /** Whether this outcome proves that the request did not execute. */
    public final boolean neverExecuted;

    Outcome(boolean neverExecuted) {
        this.neverExecuted = neverExecuted;
    }
}
