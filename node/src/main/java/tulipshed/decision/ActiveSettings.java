package tulipshed.decision;

import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.RequestClass;
import tulipshed.decision.api.Tenant;

/**
 * The current settings, shared by the components of a balancer, and totals derived from them. Confined to the
 * event-loop thread.
 */
final class ActiveSettings {
    private BalancerSettings current;
    private double shortestMessageLatencyObjectiveMs;
    private double quotaPerS;
    private double quotaConnectionsPerNode;
    /** This instance's share of the balancer's quotas, from 0 to 1. */
    double quotaShare = 1;

    ActiveSettings(BalancerSettings settings) {
        replace(settings);
    }

    /** Replaces the settings. */
    void replace(BalancerSettings settings) {
        current = settings;
        shortestMessageLatencyObjectiveMs = settings.classes().stream()
                        .mapToLong(RequestClass::messageLatencyObjectiveUs)
                        .filter(objectiveUs -> objectiveUs > 0)
                        .min()
                        .orElse(Long.MAX_VALUE)
                / 1000.0;
        quotaPerS = settings.tenants().stream().mapToDouble(Tenant::quotaPerS).sum();
        double connections = settings.tenants().stream()
                .mapToDouble(Tenant::quotaConnections)
                .sum();
        quotaConnectionsPerNode = connections / settings.nodeCount();
    }

    BalancerSettings current() {
        return current;
    }

    /** The shortest message latency objective of any class, in milliseconds; very large if no class has one. */
    double shortestMessageLatencyObjectiveMs() {
        return shortestMessageLatencyObjectiveMs;
    }

    /** The tenants' quotas of new connections for all balancers together, in connections per second. */
    double quotaPerS() {
        return quotaPerS;
    }

    /** This balancer's equal share of the tenants' quotas of open connections. */
    double quotaConnectionsPerNode() {
        return quotaConnectionsPerNode;
    }
}
