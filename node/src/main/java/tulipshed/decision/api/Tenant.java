package tulipshed.decision.api;

/**
 * One tenant; quotas are for all balancers together, 0 if not stated.
 *
 * @param quotaShare share of the capacity, from 0 to 1
 * @param quotaPerS new connections a second
 * @param quotaConnections open connections
 */
public record Tenant(String name, double quotaShare, double quotaPerS, double quotaConnections) {}
