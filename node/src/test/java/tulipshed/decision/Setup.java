package tulipshed.decision;

import java.util.ArrayList;
import java.util.List;
import tulipshed.decision.BalancerApi.DeduplicationScope;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.Idempotency;
import tulipshed.decision.BalancerApi.LoadReport;
import tulipshed.decision.BalancerApi.LoadReportSource;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.Prices;
import tulipshed.decision.BalancerApi.ProtocolRules;
import tulipshed.decision.BalancerApi.RequestClass;
import tulipshed.decision.BalancerApi.Settings;
import tulipshed.decision.BalancerApi.SiteLimits;
import tulipshed.decision.BalancerApi.Tenant;
import tulipshed.decision.BalancerApi.WeightSemantics;

/** Settings and events for tests of the module alone; a builder whose defaults are plain. */
final class Setup {
    static final long SECOND = 1_000_000;
    Idempotency effect = Idempotency.IDEMPOTENT;
    DeduplicationScope group = DeduplicationScope.ALL;
    int balancers = 1;
    int maxAttempts = 4;
    boolean asked;
    boolean groups;
    boolean passThrough;
    boolean cancel = true;
    String prefix = "";
    int tenants = 2;
    double quotaConnections;
    LoadReportSource reports = LoadReportSource.NONE;
    WeightSemantics weights = WeightSemantics.SIZE;
    Prices prices = new Prices(0, 0, 0, 0, 0);
    boolean probes;

    Settings settings() {
        List<Tenant> list = new ArrayList<>();
        for (int i = 0; i < tenants; i++) {
            list.add(new Tenant(prefix + "tenant" + i, 1.0 / tenants, 4, quotaConnections));
        }
        return new Settings(
                0,
                balancers,
                prefix + "zone0",
                passThrough,
                asked,
                groups,
                weights,
                reports,
                new SiteLimits(maxAttempts, 1_500_000, cancel, probes, false, true, 250_000, 10 * SECOND, 1),
                new ProtocolRules(500_000, 10 * SECOND, 0.25, 8 * SECOND, 3, 2 * SECOND),
                prices,
                List.of(new RequestClass(
                        prefix + "class0", 500_000, 2 * SECOND, 1, effect, group, 5 * SECOND, 100_000)),
                list);
    }

    Balancer balancer(Recorder recorder, long seed) {
        return new Balancer(settings(), seed, 0, recorder);
    }

    EndpointInfo server(int i) {
        return server(i, EndpointStatus.SERVING, 0);
    }

    EndpointInfo server(int i, EndpointStatus state, long startedUs) {
        return new EndpointInfo(name(i), state, prefix + "zone" + i % 2, i / 2, prefix + "kind" + i % 2, 1, startedUs);
    }

    static String name(int i) {
        return "server" + i;
    }

    void list(Balancer b, long now, int servers) {
        List<EndpointInfo> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(server(i));
        }
        b.endpointsChanged(now, EndpointListKind.CACHED, entries);
    }

    static NewRequest request(long id) {
        return request(id, 0, null, 2 * SECOND);
    }

    static NewRequest request(long id, int tenant, String group, long graceUs) {
        return new NewRequest(id, 0, tenant, "key" + id, group, graceUs, 0, false, false, false);
    }

    /** One request, of one of seven groups and two tenants, and what becomes of it: each fifth is reset. */
    static void round(Balancer b, long now, long id) {
        b.requestArrived(now, request(id, (int) id % 2, "g" + id % 7, 2 * SECOND));
        if (id % 5 == 0) {
            end(b, now, id, 0, false, Outcome.RESET);
        } else {
            b.attemptEstablished(now, id, 0, id % 13 * 1000);
        }
    }

    static void end(Balancer b, long now, long id, int attempt, boolean concluded, Outcome outcome) {
        b.attemptEnded(now, id, attempt, concluded, outcome, LoadReport.NONE);
    }
}
