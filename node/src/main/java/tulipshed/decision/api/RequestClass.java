package tulipshed.decision.api;

/**
 * One class of requests; times are in microseconds.
 *
 * @param latencyObjectiveUs objective for establishing a connection
 * @param deadlineUs deadline for establishing a connection
 * @param priorityWeight relative worth of a served request
 * @param deduplicationWindowUs how long idempotency keys are kept
 * @param messageLatencyObjectiveUs objective for messages on established connections, 0 for none
 */
public record RequestClass(
        String name,
        long latencyObjectiveUs,
        long deadlineUs,
        double priorityWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        long messageLatencyObjectiveUs) {}
