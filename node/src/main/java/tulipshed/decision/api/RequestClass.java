package tulipshed.decision.api;

/**
 * One class of requests, as the settings define it.
 *
 * @param name its name in the settings
 * @param latencyObjectiveUs objective for establishing a connection, in microseconds
 * @param deadlineUs deadline for establishing a connection, in microseconds
 * @param priorityWeight priority weight of a served request, relative to other classes
 * @param idempotency whether a request may be repeated
 * @param deduplicationScope which endpoints discard a repeat with the same idempotency key
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

    /** Whether a client may repeat a request, at whatever endpoint, that may have executed: its effect happens once. */
    public boolean isRepeatHarmless() {
        return idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.WITH_KEY && deduplicationScope == DeduplicationScope.ALL);
    }
}
