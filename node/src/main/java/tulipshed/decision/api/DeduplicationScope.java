package tulipshed.decision.api;

/** Set of endpoints that share idempotency keys, so that each discards duplicates of the others' requests. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
