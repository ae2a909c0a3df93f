package tulipshed.proxy;

/**
 * What a client asks for, in the terms of the settings.
 *
 * @param requestClass index of the class in the settings
 * @param tenant index of the tenant in the settings, -1 where there is none
 * @param key the idempotency key
 * @param group the affinity group, null where there is none
 * @param timeoutMs how long the client waits for a final response, in milliseconds
 * @param loadHintUsPerS expected load in microseconds of work per second, 0 where the client gave none
 * @param retry whether the client has sent this request before
 * @param reconnecting whether the client comes back after its connection was migrated
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
