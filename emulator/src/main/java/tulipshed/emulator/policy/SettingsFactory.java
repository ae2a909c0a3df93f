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
import tulipshed.emulator.scenario.Scenario;

/** A scenario in the terms in which a node is told of its site. */
final class SettingsFactory {
    private static final double REPEAT_MS = 5000;

    private SettingsFactory() {}

    static long us(double ms) {
        return Math.round(ms * 1000);
    }

    static BalancerSettings of(Scenario scenario, int node) {
        Scenario.Nodes nodes = scenario.nodes();
        Scenario.MemberModel endpointModel = scenario.members();
        // A first guess of what the fleet holds, as an operator would state it.
        double connections = scenario.clients().standing() > 0
                ? scenario.clients().standing()
                : scenario.clients().perSecond() * 10;
        List<RequestClass> classes = scenario.classes().stream()
                .map(c -> new RequestClass(
                        c.name(),
                        us(c.aimMs()),
                        us(c.deadlineMs()),
                        c.worth(),
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        us(REPEAT_MS),
                        us(c.messageAimMs())))
                .toList();
        double quota = scenario.clients().perSecond();
        List<Tenant> tenants = scenario.tenants().stream()
                .map(t -> new Tenant(
                        t.name(),
                        t.share(),
                        t.quotaPerS() > 0 ? t.quotaPerS() : quota * t.share(),
                        connections * t.share()))
                .toList();
        return new BalancerSettings(
                node,
                nodes.count(),
                "s" + node % scenario.network().sites(),
                false,
                !scenario.discovery().pushed(),
                nodes.groups(),
                WeightSemantics.SIZE,
                LoadReportSource.NONE,
                new SiteLimits(
                        nodes.maxAttempts(),
                        us(nodes.maxRetryAfterMs()),
                        nodes.cancel(),
                        false,
                        false,
                        nodes.maxRetryAfterMs() > 0,
                        us(nodes.connectTimeoutMs()),
                        us(30_000),
                        1),
                new ProtocolRules(
                        us(endpointModel.drainGraceMs()),
                        us(scenario.discovery().askWithinMs()),
                        endpointModel.coldShare(),
                        us(endpointModel.warmMs()),
                        endpointModel.fallFactor(),
                        us(endpointModel.fallMs())),
                new Prices(0, 0, 0, 0.03, 0.19),
                classes,
                tenants);
    }

    static String group(ClientDemand demand) {
        return demand.group < 0 ? null : "g" + demand.group;
    }
}
