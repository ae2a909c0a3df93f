package tulipshed.decision;

import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.RequestClass;
import tulipshed.decision.api.Tenant;

/** The settings in force, shared by the parts of a balancer, and sums over them. Confined to the event-loop thread. */
final class ActiveSettings {
    private BalancerSettings current;
    private double shortestMessageLatencyObjectiveMs;
    private double quotaPerS;
    private double quotaConnectionsPerNode;
    /** Share of the balancer's quotas that this instance has, from 0 to 1. */
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

    /** The tenants' quotas of new connections for all balancers together, in connections a second. */
    double quotaPerS() {
        return quotaPerS;
    }

    /** This balancer's even part of the tenants' quotas of open connections. */
    double quotaConnectionsPerNode() {
        return quotaConnectionsPerNode;
    }
}
