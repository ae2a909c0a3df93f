package tulipshed.limits;

/**
 * Health checks of endpoints.
 *
 * @param connections the connections kept for them, one for an endpoint
 * @param responseTimeoutMs how long a response may take, from the decision to check on and connecting included
 * @param idleTimeoutMs how long an unused connection is kept
 */
public record HealthCheckLimits(int connections, double responseTimeoutMs, double idleTimeoutMs) {
    /** The default limits. */
    static HealthCheckLimits defaults() {
        return new HealthCheckLimits(/* connections= */ 64, /* responseTimeoutMs= */ 500, /* idleTimeoutMs= */ 5_000);
    }
}
