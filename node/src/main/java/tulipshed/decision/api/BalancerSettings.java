package tulipshed.decision.api;

import java.util.List;

/**
 * The settings of one balancer.
 *
 * @param nodeIndex index of this balancer in its tier, from 0 on
 * @param nodeCount number of balancers in the tier, at least 1
 * @param zone zone of this balancer
 * @param passThrough whether the node forwards packets instead of terminating connections
 * @param polledDiscovery whether the balancer must poll or watch the endpoint list, rather than having it pushed
 * @param groupAffinity whether the connections of a group are placed on few endpoints
 * @param weightSemantics meaning of the weights in the endpoint list
 * @param loadReportSource source of load reports
 * @param limits limits imposed by the site
 * @param rules parameters of the protocol rules
 * @param prices prices of costly operations
 * @param classes the request classes, at least one; a request names its class by the index
 * @param tenants the tenants, possibly none; a request names its tenant by the index
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
