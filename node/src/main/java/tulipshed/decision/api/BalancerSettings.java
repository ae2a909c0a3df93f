package tulipshed.decision.api;

import java.util.List;

/**
 * BalancerSettings of one balancer.
 *
 * @param nodeIndex number of this balancer in its tier, from 0 on
 * @param nodeCount number of balancers in the tier, at least 1
 * @param zone zone of this balancer
 * @param polledDiscovery whether the list must be polled or subscribed to, rather than being pushed
 * @param groupAffinity whether the connections of a group are kept together
 */
public record BalancerSettings(
        int nodeIndex,
        int nodeCount,
        String zone,
        boolean passThrough,
        boolean polledDiscovery,
        boolean groupAffinity,
        WeightSemantics weightSemantics,
        LoadReportSource loadReportSource,
        SiteLimits limits,
        ProtocolRules rules,
        Prices prices,
        List<RequestClass> classes,
        List<Tenant> tenants) {}
