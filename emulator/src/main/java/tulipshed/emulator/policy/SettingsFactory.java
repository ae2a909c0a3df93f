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

    static BalancerSettings of(Scenario s, int node) {
        Scenario.Nodes n = s.nodes();
        Scenario.MemberModel m = s.members();
        // A first guess of what the fleet holds, as an operator would state it.
        double connections = s.clients().standing() > 0
                ? s.clients().standing()
                : s.clients().perSecond() * 10;
        List<RequestClass> classes = s.classes().stream()
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
        double quota = s.clients().perSecond();
        List<Tenant> tenants = s.tenants().stream()
                .map(t -> new Tenant(
                        t.name(),
                        t.share(),
                        t.quotaPerS() > 0 ? t.quotaPerS() : quota * t.share(),
                        connections * t.share()))
                .toList();
        return new BalancerSettings(
                node,
                n.count(),
                "s" + node % s.network().sites(),
                false,
                !s.discovery().pushed(),
                n.groups(),
                WeightSemantics.SIZE,
                LoadReportSource.NONE,
                new SiteLimits(
                        n.maxAttempts(),
                        us(n.maxRetryAfterMs()),
                        n.cancel(),
                        false,
                        false,
                        n.maxRetryAfterMs() > 0,
                        us(n.connectTimeoutMs()),
                        us(30_000),
                        1),
                new ProtocolRules(
                        us(m.drainGraceMs()),
                        us(s.discovery().askWithinMs()),
                        m.coldShare(),
                        us(m.warmMs()),
                        m.fallFactor(),
                        us(m.fallMs())),
                new Prices(0, 0, 0, 0.03, 0.19),
                classes,
                tenants);
    }

    static String group(ClientDemand w) {
        return w.group < 0 ? null : "g" + w.group;
    }
}
