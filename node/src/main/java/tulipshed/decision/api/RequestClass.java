package tulipshed.decision.api;

/**
 * A request class as defined in the settings.
 *
 * @param name its name in the settings
 * @param latencyObjectiveUs objective for establishing a connection, in microseconds
 * @param deadlineUs deadline for establishing a connection, in microseconds
 * @param priorityWeight weight of a served request relative to those of other classes
 * @param idempotency whether a request that may have executed may be retried
 * @param deduplicationScope endpoints among which duplicates with the same idempotency key are discarded
 * @param deduplicationWindowUs how long endpoints keep an idempotency key, in microseconds
 * @param messageLatencyObjectiveUs objective for messages on established connections, in microseconds; 0 for none
 */
public record RequestClass(
        String name,
        long latencyObjectiveUs,
        long deadlineUs,
        double priorityWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        long messageLatencyObjectiveUs) {

    /**
     * Whether a client may retry at any endpoint a request that may have executed, as the effect happens only once;
     * with a key only within its deduplication window.
     */
    public boolean isSafeToRetry() {
        return idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.WITH_KEY && deduplicationScope == DeduplicationScope.ALL);
    }
}
