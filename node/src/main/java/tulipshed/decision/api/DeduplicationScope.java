package tulipshed.decision.api;

/** The endpoints that share their idempotency keys, and so discard each other's duplicates. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** Those of one zone. */
    ZONE,
    /** Those of one cell. */
    CELL
}
