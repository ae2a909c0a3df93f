package tulipshed.decision.api;

/**
 * A tenant. Its quotas apply to all balancers together and are 0 where the settings specify none.
 *
 * @param name its name in the settings
 * @param quotaShare share of the capacity, from 0 to 1
 * @param quotaPerS new connections per second
 * @param quotaConnections open connections
 */
public record Tenant(String name, double quotaShare, double quotaPerS, double quotaConnections) {}
