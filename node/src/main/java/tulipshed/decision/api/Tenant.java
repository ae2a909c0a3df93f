package tulipshed.decision.api;

/**
 * One tenant. Its quotas are for all balancers together, and 0 where the settings state none.
 *
 * @param name its name in the settings
 * @param quotaShare share of the capacity, from 0 to 1
 * @param quotaPerS new connections a second
 * @param quotaConnections open connections
 */
public record Tenant(String name, double quotaShare, double quotaPerS, double quotaConnections) {}
