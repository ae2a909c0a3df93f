package tulipshed.decision.api;

/** Whether a request that may have executed may be retried. */
public enum Idempotency {
    /** Always. */
    IDEMPOTENT,
    /** Only within the scope and the window in which endpoints keep its idempotency key. */
    WITH_KEY,
    /** Never. */
    NOT_IDEMPOTENT
}
