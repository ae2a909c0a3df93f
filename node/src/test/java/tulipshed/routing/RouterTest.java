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
import tulipshed.operators.OperatorsFile;

class RouterTest {
    private static final String POOLS = "(pool a (where (= member.kind \"a\"))) (pool b (where (= member.kind \"b\")))"
            + "(pool young (where (< member.age-ms 5000)))";

    private static Router router(String routes) {
        return OperatorsFile.read(
                        "f",
                        (POOLS + routes).getBytes(StandardCharsets.UTF_8),
                        NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                                .nameIndex())
                .router();
    }

    private static List<EndpointInfo> members(int a, int b) {
        List<EndpointInfo> list = new ArrayList<>();
        for (int i = 0; i < a + b; i++) {
            list.add(new EndpointInfo(
                    "s-" + i, EndpointStatus.SERVING, "z", 0, i < a ? "a" : "b", 1, i == 0 ? 1_000_000 : 0));
        }
        return list;
    }

    private static RequestAttributes subject(String key) {
        return new RequestAttributes(
                "slot-board", "melnik-terminal", key, null, 1000, 0, false, false, RequestOrigin.UNKNOWN);
    }

    @Test
    void poolsFollowTheListAndTheAgeOfMembers() {
        Router r = router("");
        assertTrue(r.members(members(2, 1), 4000));
        assertEquals(Map.of("a", Set.of("s-0", "s-1"), "b", Set.of("s-2"), "young", Set.of("s-0")), r.pools());
        assertFalse(r.members(members(2, 1), 5000));
        assertTrue(r.agesMatter());
        assertTrue(r.members(members(2, 1), 6000), "s-0, started at 1000 ms, is young no more");
        assertEquals(Set.of(), r.pools().get("young"));
        assertNull(r.pool(subject("k")), "no route holds it to a pool");
    }

    /** A share that swings between the two bounds must not make the route swing. */
    @Property(tries = 300, seed = "41")
    void aShareThatSwingsBetweenTheBoundsChangesNothing(@ForAll long seed) {
        Random random = new Random(seed);
        Router r = router("(route r (to (a (below 0.3) (back 0.6)) b))");
        r.members(members(10, 2), 0);
        int ready = 10;
        String expected = "a";
        int changes = 0;
        r.look(p -> p.equals("a") ? 10 : 2);
        for (int i = 0; i < 200; i++) {
            ready = Math.max(0, Math.min(10, ready + random.nextInt(5) - 2));
            int now = ready;
            boolean changed = r.look(p -> p.equals("a") ? now : 2);
            String before = expected;
            expected = ready < 3 ? "b" : ready >= 6 ? "a" : expected;
            assertEquals(expected, r.pool(subject("k")), "with " + ready + " of 10 ready");
            assertEquals(!before.equals(expected), changed);
            changes += changed ? 1 : 0;
        }
        assertTrue(changes <= 200 / 4, "it takes 4 of 10 members and more to change back: " + changes);
    }

    @Test
    void theFirstPoolThatHasAReadyMemberIsUsedAndElseTheFirst() {
        Router r = router("(route r (to a b))");
        r.members(members(1, 1), 0);
        r.look(p -> 1);
        assertEquals("a", r.pool(subject("k")));
        r.look(p -> p.equals("b") ? 1 : 0);
        assertEquals("b", r.pool(subject("k")));
        assertEquals(Map.of("r", "b"), r.spilled());
        r.look(p -> 0);
        assertEquals("a", r.pool(subject("k")), "with none ready the module has to deal with the first");
        Router below = router("(route r (to (a (below 0.5) (back 0.5)) (b (below 0.5) (back 0.5))))");
        below.members(members(5, 5), 0);
        below.look(p -> p.equals("b") ? 1 : 0);
        assertEquals("b", below.pool(subject("k")), "few are better than none");
    }

    @Test
    void aSplitThatGrowsOnlyMovesKeysToTheNew() {
        Router before = router("(route r (split key (90 a) (10 b)))");
        Router after = router("(route r (split key (75 a) (25 b)))");
        int b = 0;
        int more = 0;
        for (int i = 0; i < 4000; i++) {
            String was = before.pool(subject("key-" + i));
            String is = after.pool(subject("key-" + i));
            assertTrue(was.equals(is) || is.equals("b"));
            b += was.equals("b") ? 1 : 0;
            more += is.equals("b") ? 1 : 0;
        }
        assertTrue(b > 340 && b < 460 && more > 900 && more < 1100, b + " and " + more + " of 4000");
    }

    @Test
    void figuresMustBeWhatWasDeclared() {
        Declarations d = new Declarations(
                Map.of(
                        "n",
                        new Declarations.Figure(tulipshed.expression.Type.INTEGER, 0),
                        "s",
                        new Declarations.Figure(tulipshed.expression.Type.STRING, 3)),
                8,
                8);
        assertEquals(-5L, d.read("n", "-5"));
        assertNull(d.read("n", "5.0"));
        assertNull(d.read("n", "99999999999999999999"));
        assertEquals("abc", d.read("s", "abc"));
        assertNull(d.read("s", "abcd"));
    }
}
