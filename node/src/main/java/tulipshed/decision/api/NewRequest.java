package tulipshed.decision.api;

/**
 * A request for a connection.
 *
 * @param id ID of the request, unique within the instance
 * @param requestClass index of the class in the settings
 * @param tenant index of the tenant in the settings, -1 for none
 * @param key idempotency key, or null
 * @param group name of the connection group, or null
 * @param timeoutUs time from the event to the deadline of the client, in microseconds
 * @param loadHintUsPerS the client's load hint, in microseconds of work per second; 0 if unknown
 * @param retry whether this is the client's retry of a rejected request
 * @param exemptFromAdmission whether it continues earlier work and is therefore admitted without a token
 * @param reconnecting whether the client had an earlier connection that was closed or reset
 * @param pool name of the endpoint pool that the request is restricted to, or null for all endpoints
 */
public record NewRequest(
        long id,
        int requestClass,
        int tenant,
        String key,
        String group,
        long timeoutUs,
        double loadHintUsPerS,
        boolean retry,
        boolean exemptFromAdmission,
        boolean reconnecting,
        String pool) {
    /** Creates a request that is not restricted to a pool. */
    @SuppressWarnings("checkstyle:ParameterNumber") // the components of the record
    public NewRequest(
            long id,
            int requestClass,
            int tenant,
            String key,
            String group,
            long timeoutUs,
            double loadHintUsPerS,
            boolean retry,
            boolean exemptFromAdmission,
            boolean reconnecting) {
        this(
                id,
                requestClass,
                tenant,
                key,
                group,
                timeoutUs,
                loadHintUsPerS,
                retry,
                exemptFromAdmission,
                reconnecting,
                null);
    }
}
