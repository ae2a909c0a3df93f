package tulipshed.routing;

/**
 * The attributes of a request that rules read, with class and tenant by their names in the settings.
 *
 * @param className the name of its class
 * @param tenant the name of its tenant, null if there is none
 * @param key its idempotency key
 * @param group its affinity group, null if there is none
 * @param timeoutMs how long its client waits for a final response, in milliseconds
 * @param loadHintUsPerS the expected load in microseconds of work per second, 0 if the client sent no hint
 * @param retry whether the client has sent the request before
 * @param reconnecting whether the client reconnects because its connection was migrated
 * @param origin its origin
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

    /** Returns the class, tenant and group of these attributes, for a request that no rule classifies. */
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
