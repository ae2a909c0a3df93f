package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tulipshed.config.NodeConfig;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.operators.OperatorsFile;
import tulipshed.routing.Router;

/** The application of the operators' routing rules to requests. */
class RequestRoutingTest {
    private static final String POOLS =
            "(pool a (where (in member.id [\"s-1\" \"s-2\"]))) (pool b (where (= member.id \"s-3\")))";
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    private static Router router(String text) {
        return OperatorsFile.read(
                        "f",
                        text.getBytes(StandardCharsets.UTF_8),
                        NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                                .nameIndex())
                .router();
    }

    private void setEligible(int inPoolA, int inPoolB) {
        fixture.balancer.eligibleByPool.put("a", inPoolA);
        fixture.balancer.eligibleByPool.put("b", inPoolB);
    }

    @Test
    void classifiesArrivalAndAssignsItsPool() {
        setEligible(1, 1);
        fixture.core.setRouter(router(POOLS + "(classify (rule r (when (= key \"k\")) (class \"slot-booking\")))"
                + "(route r (when (= class \"slot-booking\")) (to b))"));
        assertEquals(List.of("pools {a=[s-1], b=[]}"), fixture.takeRecorded());
        fixture.requestArrives(2000);
        assertEquals(List.of("request 2000 in b as 2"), fixture.takeRecorded());
    }

    @Test
    void reroutesPendingRequestsWhenTheirPoolBecomesIneligible() {
        fixture.updateEndpoint("s-3", EndpointStatus.SERVING);
        setEligible(1, 1);
        fixture.core.setRouter(router(POOLS + "(route r (to a b))"));
        fixture.requestArrives(2000);
        fixture.takeRecorded();
        fixture.balancer.eligibleByPool.put("a", 0);
        fixture.advance(99);
        assertEquals(List.of(), fixture.takeRecorded());
        fixture.advance(2);
        assertEquals(
                List.of("INFO route: r uses pool b instead of its preferred pool", "rerouted 1 b"),
                fixture.takeRecorded());
        fixture.balancer.eligibleByPool.put("a", 1);
        fixture.updateEndpoint("s-2", EndpointStatus.SERVING);
        assertEquals(
                List.of(
                        "endpoints CHANGES",
                        "pools {a=[s-1, s-2], b=[s-3]}",
                        "INFO route: r uses its preferred pool again",
                        "rerouted 1 a"),
                fixture.takeRecorded().stream()
                        .map(line -> line.replace("s-2, s-1", "s-1, s-2"))
                        .toList());
    }

    @Test
    void keepsEstablishedConnectionWhenRouterIsRemoved() {
        setEligible(1, 1);
        fixture.core.setRouter(router(POOLS + "(route r (to a))"));
        Attempt attempt = fixture.startAttempt(2000);
        assertTrue(fixture.core.attemptEstablished(attempt));
        fixture.requestArrives(1500);
        fixture.takeRecorded();
        fixture.core.setRouter(null);
        assertEquals(List.of("pools {}", "rerouted 2 null"), fixture.takeRecorded());
        assertTrue(attempt.request().isEstablished());
        fixture.advance(300);
        assertEquals(List.of(), fixture.takeRecorded(), "routes are no longer polled");
    }

    /** New settings may lack a class that a rule assigns, until the rules are reloaded. */
    @Test
    void ignoresClassThatSettingsNoLongerName() {
        fixture.core.setRouter(router("(classify (rule r (when true) (class \"slot-booking\")))"));
        BalancerSettings settings = NodeJsonSettings.nodeSettings();
        fixture.core.reconfigure(
                NodeJsonSettings.withClasses(settings, settings.classes().subList(0, 2)));
        fixture.takeRecorded();
        fixture.requestArrives(1000);
        assertEquals(List.of("request 1000"), fixture.takeRecorded());
    }
}
