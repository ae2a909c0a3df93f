package tulipshed.decision;

import java.util.ArrayList;
import java.util.List;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.DeduplicationScope;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.LoadReportSource;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;
import tulipshed.decision.api.Prices;
import tulipshed.decision.api.ProtocolRules;
import tulipshed.decision.api.RequestClass;
import tulipshed.decision.api.SiteLimits;
import tulipshed.decision.api.Tenant;
import tulipshed.decision.api.WeightSemantics;

/** Test fixture for a balancer: settings with simple defaults, endpoints, requests and recorded actions. */
final class BalancerSetup {
    /** One second in microseconds. */
    static final long SECOND = 1_000_000;

    final RecordingActions recorder = new RecordingActions();

    Idempotency idempotency = Idempotency.IDEMPOTENT;
    DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    int nodeCount = 1;
    int maxAttempts = 4;
    boolean polledDiscovery;
    boolean groupAffinity;
    boolean passThrough;
    boolean cancellation = true;
    /** Prefix of all names in the settings and the endpoint list. */
    String namePrefix = "";

    int tenants = 2;
    double quotaConnections;
    LoadReportSource loadReportSource = LoadReportSource.NONE;
    WeightSemantics weightSemantics = WeightSemantics.SIZE;
    Prices prices = new Prices(0, 0, 0, 0, 0);
    boolean healthChecks;

    BalancerSettings settings() {
        List<Tenant> tenantList = new ArrayList<>();
        for (int i = 0; i < tenants; i++) {
            tenantList.add(new Tenant(namePrefix + "tenant" + i, 1.0 / tenants, 4, quotaConnections));
        }
        return new BalancerSettings(
                0,
                nodeCount,
                namePrefix + "zone0",
                passThrough,
                polledDiscovery,
                groupAffinity,
                weightSemantics,
                loadReportSource,
                new SiteLimits(
                        maxAttempts, 1_500_000, cancellation, healthChecks, false, true, 250_000, 10 * SECOND, 1),
                new ProtocolRules(500_000, 10 * SECOND, 0.25, 8 * SECOND, 3, 2 * SECOND),
                prices,
                List.of(new RequestClass(
                        namePrefix + "class0",
                        500_000,
                        2 * SECOND,
                        1,
                        idempotency,
                        deduplicationScope,
                        5 * SECOND,
                        100_000)),
                tenantList);
    }

    /** A balancer without endpoints, whose actions are recorded. */
    Balancer balancer(long seed) {
        return new Balancer(settings(), seed, 0, recorder);
    }

    /** A balancer with seed 1 and this many endpoints; the actions recorded so far are cleared. */
    Balancer balancerWithEndpoints(int count) {
        Balancer balancer = balancer(1);
        listEndpoints(balancer, 0, count);
        recorder.take();
        return balancer;
    }

    /** The list entry of a serving endpoint that started long ago. */
    EndpointInfo endpoint(int i) {
        return endpoint(i, EndpointStatus.SERVING, 0);
    }

    /**
     * The list entry of an endpoint; odd and even indexes differ in zone and machine type, indexes 2n and 2n+1 share a
     * cell.
     */
    EndpointInfo endpoint(int i, EndpointStatus status, long startedUs) {
        return new EndpointInfo(
                endpointName(i), status, namePrefix + "zone" + i % 2, i / 2, namePrefix + "kind" + i % 2, 1, startedUs);
    }

    static String endpointName(int i) {
        return "server" + i;
    }

    /** Sends a balancer a list of this many serving endpoints. */
    void listEndpoints(Balancer balancer, long now, int count) {
        List<EndpointInfo> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(endpoint(i));
        }
        balancer.endpointsChanged(now, EndpointListKind.CACHED, entries);
    }

    static NewRequest request(long id) {
        return request(id, 0, null, 2 * SECOND);
    }

    static NewRequest request(long id, int tenant, String group, long timeoutUs) {
        return new NewRequest(id, 0, tenant, "key" + id, group, timeoutUs, 0, false, false, false);
    }

    /** Sends a request of one of seven groups and two tenants, then its outcome; every fifth attempt is reset. */
    static void sendRequestWithOutcome(Balancer balancer, long now, long id) {
        balancer.requestArrived(now, request(id, (int) id % 2, "g" + id % 7, 2 * SECOND));
        if (id % 5 == 0) {
            end(balancer, now, id, 0, false, Outcome.RESET);
        } else {
            balancer.attemptEstablished(now, id, 0, id % 13 * 1000);
        }
    }

    /** Ends an attempt without a load report. */
    static void end(Balancer balancer, long now, long id, int attempt, boolean concluded, Outcome outcome) {
        balancer.attemptEnded(now, id, attempt, concluded, outcome, LoadReport.NONE);
    }
}
