package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tulipshed.config.NodeConfig;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.operators.OperatorsFile;
import tulipshed.routing.Router;

/** What the core makes of the operators' rules. */
class RequestRoutingTest {
    private static final String POOLS =
            "(pool a (where (in member.id [\"s-1\" \"s-2\"]))) (pool b (where (= member.id \"s-3\")))";
    private final ProxyCoreFixture bench = new ProxyCoreFixture();

    private static Router router(String text) {
        return OperatorsFile.read(
                        "f",
                        text.getBytes(StandardCharsets.UTF_8),
                        NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                                .nameIndex())
                .router();
    }

    private void ready(int a, int b) {
        bench.inFavour.put("a", a);
        bench.inFavour.put("b", b);
    }

    @Test
    void classifiesArrivalAndAssignsItsPool() {
        ready(1, 1);
        bench.core.useRouter(router(POOLS + "(classify (rule r (when (= key \"k\")) (class \"slot-booking\")))"
                + "(route r (when (= class \"slot-booking\")) (to b))"));
        assertEquals(List.of("pools {a=[s-1], b=[]}"), bench.take());
        bench.arrive(2000);
        assertEquals(List.of("request 2000 in b as 2"), bench.take());
    }

    @Test
    void reroutesPendingRequestsWhenTheirPoolBecomesIneligible() {
        bench.tell("s-3", EndpointStatus.SERVING);
        ready(1, 1);
        bench.core.useRouter(router(POOLS + "(route r (to a b))"));
        bench.arrive(2000);
        bench.take();
        bench.inFavour.put("a", 0);
        bench.pass(99);
        assertEquals(List.of(), bench.take());
        bench.pass(2);
        assertEquals(List.of("INFO route: r uses pool b instead of its preferred pool", "route 1 b"), bench.take());
        bench.inFavour.put("a", 1);
        bench.tell("s-2", EndpointStatus.SERVING);
        assertEquals(
                List.of(
                        "list CHANGES",
                        "pools {a=[s-1, s-2], b=[s-3]}",
                        "INFO route: r uses its preferred pool again",
                        "route 1 a"),
                bench.take().stream()
                        .map(l -> l.replace("s-2, s-1", "s-1, s-2"))
                        .toList());
    }

    @Test
    void keepsEstablishedConnectionWhenRouterIsRemoved() {
        ready(1, 1);
        bench.core.useRouter(router(POOLS + "(route r (to a))"));
        Attempt attempt = bench.sent(2000);
        assertTrue(bench.core.attemptEstablished(attempt));
        bench.arrive(1500);
        bench.take();
        bench.core.useRouter(null);
        assertEquals(List.of("pools {}", "route 2 null"), bench.take());
        assertTrue(attempt.request().isEstablished());
        bench.pass(300);
        assertEquals(List.of(), bench.take(), "nobody looks at routes any more");
    }

    /** Settings may drop a class that a rule gave, before the rules are read anew. */
    @Test
    void ignoresClassThatSettingsNoLongerName() {
        bench.core.useRouter(router("(classify (rule r (when true) (class \"slot-booking\")))"));
        var s = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                .settings();
        bench.core.reconfigure(new tulipshed.decision.BalancerApi.Settings(
                s.nodeIndex(),
                s.nodeCount(),
                s.zone(),
                s.passThrough(),
                s.polledDiscovery(),
                s.groupAffinity(),
                s.weightSemantics(),
                s.loadReportSource(),
                s.limits(),
                s.rules(),
                s.prices(),
                s.classes().subList(0, 2),
                s.tenants()));
        bench.take();
        bench.arrive(1000);
        assertEquals(List.of("request 1000"), bench.take());
    }
}
