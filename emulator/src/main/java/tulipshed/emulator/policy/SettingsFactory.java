package tulipshed.emulator.policy;

import java.util.List;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.DeduplicationScope;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.LoadReportSource;
import tulipshed.decision.api.Prices;
import tulipshed.decision.api.ProtocolRules;
import tulipshed.decision.api.RequestClass;
import tulipshed.decision.api.SiteLimits;
import tulipshed.decision.api.Tenant;
import tulipshed.decision.api.WeightSemantics;
import tulipshed.emulator.scenario.EndpointModel;
import tulipshed.emulator.scenario.NodeSettings;
import tulipshed.emulator.scenario.Scenario;

/** A scenario in the terms in which a node is told of its site. */
final class SettingsFactory {
    private static final double REPEAT_MS = 5000;

    private SettingsFactory() {}

    static long us(double ms) {
        return Math.round(ms * 1000);
    }

    static BalancerSettings of(Scenario scenario, int node) {
        NodeSettings nodes = scenario.nodes();
        EndpointModel endpointModel = scenario.endpointModel();
        // A first guess of what the fleet holds, as an operator would state it.
        double connections = scenario.clients().establishedAtStart() > 0
                ? scenario.clients().establishedAtStart()
                : scenario.clients().arrivalsPerSecond() * 10;
        List<RequestClass> classes = scenario.requestClasses().stream()
                .map(c -> new RequestClass(
                        c.name(),
                        us(c.latencyObjectiveMs()),
                        us(c.deadlineMs()),
                        c.priorityWeight(),
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        us(REPEAT_MS),
                        us(c.messageObjectiveMs())))
                .toList();
        double quota = scenario.clients().arrivalsPerSecond();
        List<Tenant> tenants = scenario.tenants().stream()
                .map(t -> new Tenant(
                        t.name(),
                        t.quotaShare(),
                        t.quotaPerSecond() > 0 ? t.quotaPerSecond() : quota * t.quotaShare(),
                        connections * t.quotaShare()))
                .toList();
        return new BalancerSettings(
                node,
                nodes.count(),
                "s" + node % scenario.network().sites(),
                false,
                !scenario.discovery().pushed(),
                nodes.affinityGroups(),
                WeightSemantics.SIZE,
                LoadReportSource.NONE,
                new SiteLimits(
                        nodes.maxAttempts(),
                        us(nodes.maxRetryAfterMs()),
                        nodes.cancellation(),
                        false,
                        false,
                        nodes.maxRetryAfterMs() > 0,
                        us(nodes.connectTimeoutMs()),
                        us(30_000),
                        1),
                new ProtocolRules(
                        us(endpointModel.drainGraceMs()),
                        us(scenario.discovery().pollIntervalMs()),
                        endpointModel.slowStartShare(),
                        us(endpointModel.slowStartMs()),
                        endpointModel.overloadFactor(),
                        us(endpointModel.overloadWindowMs())),
                new Prices(0, 0, 0, 0.03, 0.19),
                classes,
                tenants);
    }

    static String group(ClientDemand demand) {
        return demand.group < 0 ? null : "g" + demand.group;
    }
}
