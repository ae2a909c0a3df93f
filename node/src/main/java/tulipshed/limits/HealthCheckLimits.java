package tulipshed.limits;

/**
 * Limits of health checks of endpoints.
 *
 * @param connections the maximum number of connections kept open for health checks, one per endpoint
 * @param responseTimeoutMs the timeout for a response, counted from the decision to check and including the connect time
 * @param idleTimeoutMs the time after which an unused connection is closed
 */
public record HealthCheckLimits(int connections, double responseTimeoutMs, double idleTimeoutMs) {
    /** The default limits. */
    static HealthCheckLimits defaults() {
        return new HealthCheckLimits(/* connections= */ 64, /* responseTimeoutMs= */ 500, /* idleTimeoutMs= */ 5_000);
    }
}
