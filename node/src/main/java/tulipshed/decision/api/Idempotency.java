package tulipshed.decision.api;

/** Whether a request may be retried after it may have executed. */
public enum Idempotency {
    /** Always. */
    IDEMPOTENT,
    /** Where and while its idempotency key is known. */
    WITH_KEY,
    /** Never. */
    NOT_IDEMPOTENT
}
