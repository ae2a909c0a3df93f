package tulipshed.routing;

/**
 * What is known of a request when it arrives, by the names of the settings.
 *
 * @param className the name of its class
 * @param tenant the name of its tenant, null where there is none
 * @param key its idempotency key
 * @param group its affinity group, null where there is none
 * @param timeoutMs how long its client waits for a final response, in milliseconds
 * @param loadHintUsPerS expected load in microseconds of work per second, 0 where the client gave none
 * @param retry whether the client has sent the request before
 * @param reconnecting whether the client comes back after its connection was migrated
 * @param origin where it came from
 */
public record RequestAttributes(
        String className,
        String tenant,
        String key,
        String group,
        double timeoutMs,
        double loadHintUsPerS,
        boolean retry,
        boolean reconnecting,
        RequestOrigin origin) {

    /** Returns the class, tenant and group as they arrived. */
    RequestClassification unclassified() {
        return new RequestClassification(className, tenant, group);
    }

    /** Returns these attributes with the class, tenant and group that the rules assigned. */
    public RequestAttributes withClassification(RequestClassification classification) {
        return new RequestAttributes(
                classification.className(),
                classification.tenant(),
                key,
                classification.group(),
                timeoutMs,
                loadHintUsPerS,
                retry,
                reconnecting,
                origin);
    }
}
