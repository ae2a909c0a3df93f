package tulipshed.emulator.scenario;

/**
 * A tenant.
 *
 * @param name name of the tenant
 * @param quotaShare its share of the service
 * @param quotaPerSecond connections that it may establish in a second; 0 for its share of the clients' arrival rate
 * @param demandShare its part of the requests, relative to those of the other tenants
 */
public record TenantSettings(String name, double quotaShare, double quotaPerSecond, double demandShare) {}
