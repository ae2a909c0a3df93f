package tulipshed.proxy;

/**
 * The parameters of a client's request, with class and tenant as indices in the settings.
 *
 * @param requestClass index of the class in the settings
 * @param tenant index of the tenant in the settings, -1 if there is none
 * @param key the idempotency key
 * @param group the affinity group, null if there is none
 * @param timeoutMs how long the client waits for a final response, in milliseconds
 * @param loadHintUsPerS the expected load in microseconds of work per second, 0 if the client sent no hint
 * @param retry whether the client has sent this request before
 * @param reconnecting whether the client reconnects because its connection was migrated
 */
public record RequestParameters(
        int requestClass,
        int tenant,
        String key,
        String group,
        double timeoutMs,
        double loadHintUsPerS,
        boolean retry,
        boolean reconnecting) {}
