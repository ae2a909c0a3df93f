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
    private static final double DEDUPLICATION_WINDOW_MS = 5000;

    private SettingsFactory() {}

    static long toMicros(double ms) {
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
                .map(requestClass -> new RequestClass(
                        requestClass.name(),
                        toMicros(requestClass.latencyObjectiveMs()),
                        toMicros(requestClass.deadlineMs()),
                        requestClass.priorityWeight(),
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        toMicros(DEDUPLICATION_WINDOW_MS),
                        toMicros(requestClass.messageObjectiveMs())))
                .toList();
        double quota = scenario.clients().arrivalsPerSecond();
        List<Tenant> tenants = scenario.tenants().stream()
                .map(tenant -> new Tenant(
                        tenant.name(),
                        tenant.quotaShare(),
                        tenant.quotaPerSecond() > 0 ? tenant.quotaPerSecond() : quota * tenant.quotaShare(),
                        connections * tenant.quotaShare()))
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
                        toMicros(nodes.maxRetryAfterMs()),
                        nodes.cancellation(),
                        false,
                        false,
                        nodes.maxRetryAfterMs() > 0,
                        toMicros(nodes.connectTimeoutMs()),
                        toMicros(30_000),
                        1),
                new ProtocolRules(
                        toMicros(endpointModel.drainGraceMs()),
                        toMicros(scenario.discovery().pollIntervalMs()),
                        endpointModel.slowStartShare(),
                        toMicros(endpointModel.slowStartMs()),
                        endpointModel.overloadFactor(),
                        toMicros(endpointModel.overloadWindowMs())),
                new Prices(0, 0, 0, 0.03, 0.19),
                classes,
                tenants);
    }

    static String groupName(ClientDemand demand) {
        return demand.group < 0 ? null : "g" + demand.group;
    }
}
