package tulipshed.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tulipshed.config.NodeConfig;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.expression.Type;
import tulipshed.operators.OperatorsFile;

/** Pools, routes and spillover, and the declarations of additional attributes. */
class RouterTest {
    private static final String POOLS = "(pool a (where (= member.kind \"a\"))) (pool b (where (= member.kind \"b\")))"
            + "(pool young (where (< member.age-ms 5000)))";

    private static Router routerOf(String routes) {
        return OperatorsFile.read(
                        "f",
                        (POOLS + routes).getBytes(StandardCharsets.UTF_8),
                        NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                                .nameIndex())
                .router();
    }

    /** Endpoints of machine types a and b; the first started at 1000 ms, the start times of the others are unknown. */
    private static List<EndpointInfo> endpoints(int ofTypeA, int ofTypeB) {
        List<EndpointInfo> endpoints = new ArrayList<>();
        for (int i = 0; i < ofTypeA + ofTypeB; i++) {
            endpoints.add(new EndpointInfo(
                    "s-" + i, EndpointStatus.SERVING, "z", 0, i < ofTypeA ? "a" : "b", 1, i == 0 ? 1_000_000 : 0));
        }
        return endpoints;
    }

    private static RequestAttributes requestWithKey(String key) {
        return new RequestAttributes(
                "slot-board", "melnik-terminal", key, null, 1000, 0, false, false, RequestOrigin.UNKNOWN);
    }

    @Test
    void updatesPoolsWithTheEndpointListAndTheAgeOfEndpoints() {
        Router router = routerOf("");
        assertTrue(router.updatePools(endpoints(2, 1), 4000));
        assertEquals(
                Map.of("a", Set.of("s-0", "s-1"), "b", Set.of("s-2"), "young", Set.of("s-0")),
                router.endpointIdsByPool());
        assertFalse(router.updatePools(endpoints(2, 1), 5000));
        assertTrue(router.poolsDependOnAge());
        assertTrue(router.updatePools(endpoints(2, 1), 6000), "s-0, started at 1000 ms, is no longer young");
        assertEquals(Set.of(), router.endpointIdsByPool().get("young"));
        assertNull(router.poolFor(requestWithKey("k")), "no route assigns a pool");
    }

    /** Hysteresis: a ready share that oscillates between the two bounds must not change the pool of the route. */
    @Property(tries = 300, seed = "41")
    void keepsPoolWhileReadyShareStaysBetweenTheTwoBounds(@ForAll long seed) {
        Random random = new Random(seed);
        Router router = routerOf("(route r (to (a (below 0.3) (back 0.6)) b))");
        router.updatePools(endpoints(10, 2), 0);
        int ready = 10;
        String expected = "a";
        int changes = 0;
        router.reevaluateSpillover(pool -> pool.equals("a") ? 10 : 2);
        for (int i = 0; i < 200; i++) {
            ready = Math.max(0, Math.min(10, ready + random.nextInt(5) - 2));
            int readyNow = ready;
            boolean changed = router.reevaluateSpillover(pool -> pool.equals("a") ? readyNow : 2);
            String before = expected;
            expected = ready < 3 ? "b" : ready >= 6 ? "a" : expected;
            assertEquals(expected, router.poolFor(requestWithKey("k")), "with " + ready + " of 10 ready");
            assertEquals(!before.equals(expected), changed);
            changes += changed ? 1 : 0;
        }
        // To change the pool back, the ready count must change by at least 4. The bound is on the number of changes: on
        // average, at most every fourth evaluation changes the pool.
        assertTrue(changes <= 200 / 4, "changes of the pool in 200 evaluations: " + changes);
    }

    @Test
    void usesFirstPoolWithAReadyEndpointOrElseTheFirst() {
        Router router = routerOf("(route r (to a b))");
        router.updatePools(endpoints(1, 1), 0);
        router.reevaluateSpillover(pool -> 1);
        assertEquals("a", router.poolFor(requestWithKey("k")));
        router.reevaluateSpillover(pool -> pool.equals("b") ? 1 : 0);
        assertEquals("b", router.poolFor(requestWithKey("k")));
        assertEquals(Map.of("r", "b"), router.spilloverPools());
        router.reevaluateSpillover(pool -> 0);
        assertEquals("a", router.poolFor(requestWithKey("k")), "with none ready the first is used");
        Router below = routerOf("(route r (to (a (below 0.5) (back 0.5)) (b (below 0.5) (back 0.5))))");
        below.updatePools(endpoints(5, 5), 0);
        below.reevaluateSpillover(pool -> pool.equals("b") ? 1 : 0);
        assertEquals(
                "b",
                below.poolFor(requestWithKey("k")),
                "a pool with few ready endpoints is preferred to one with none");
    }

    @Test
    void movesKeysOnlyToTheBranchWhoseWeightGrows() {
        Router before = routerOf("(route r (split key (90 a) (10 b)))");
        Router after = routerOf("(route r (split key (75 a) (25 b)))");
        int countBefore = 0;
        int countAfter = 0;
        for (int i = 0; i < 4000; i++) {
            String poolBefore = before.poolFor(requestWithKey("key-" + i));
            String poolAfter = after.poolFor(requestWithKey("key-" + i));
            assertTrue(poolBefore.equals(poolAfter) || poolAfter.equals("b"));
            countBefore += poolBefore.equals("b") ? 1 : 0;
            countAfter += poolAfter.equals("b") ? 1 : 0;
        }
        assertTrue(
                countBefore > 340 && countBefore < 460 && countAfter > 900 && countAfter < 1100,
                countBefore + " and " + countAfter + " of 4000");
    }

    @Test
    void parsesOnlyValuesOfTheDeclaredTypeAndLength() {
        AttributeDeclarations declarations = new AttributeDeclarations(
                Map.of("n", new AttributeDeclaration(Type.INTEGER, 0), "s", new AttributeDeclaration(Type.STRING, 3)),
                8,
                8);
        assertEquals(new AttributeValue.IntegerValue(-5), declarations.parse("n", "-5"));
        assertNull(declarations.parse("n", "5.0"));
        assertNull(declarations.parse("n", "99999999999999999999"));
        assertEquals(new AttributeValue.StringValue("abc"), declarations.parse("s", "abc"));
        assertNull(declarations.parse("s", "abcd"));
    }
}
