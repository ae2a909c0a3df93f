package tulipshed.decision.api;

/**
 * A request for a connection.
 *
 * @param id ID of the request, unique within the instance
 * @param requestClass index of the class in the settings
 * @param tenant index of the tenant in the settings, -1 for none
 * @param key idempotency key, or null
 * @param group name of the connection group, or null
 * @param timeoutUs time from the event until the client gives up, in microseconds
 * @param loadHintUsPerS expected load in microseconds of work a second, 0 if unknown
 * @param retry whether the client repeats a rejected request
 * @param exemptFromAdmission whether it continues earlier work and is admitted without a token
 * @param reconnecting whether the client had a connection that was closed or broke
 * @param pool name of the pool it is restricted to, or null for all endpoints
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
    /** Creates a request that any endpoint may take. */
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
