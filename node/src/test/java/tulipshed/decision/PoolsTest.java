package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.Setup.SECOND;
import static tulipshed.decision.Setup.name;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.Outcome;

/** Requests that are held to a pool of servers. */
class PoolsTest {
    private final Recorder recorder = new Recorder();
    private final Setup setup = new Setup();

    private static NewRequest held(long id, String pool) {
        return held(id, pool, null);
    }

    private static NewRequest held(long id, String pool, String group) {
        return new NewRequest(id, 0, (int) (id % 2), "key" + id, group, 2 * SECOND, 0, false, false, false, pool);
    }

    private Balancer balancer(int servers) {
        Balancer b = setup.balancer(recorder, 1);
        setup.list(b, 0, servers);
        recorder.take();
        return b;
    }

    @Test
    void poolsThatNobodyIsHeldToChangeNoDecision() {
        List<String> without = play(Map.of());
        assertTrue(without.size() > 300);
        assertEquals(without, play(Map.of("p", Set.of(name(1), name(3), "unknown"), "q", Set.of())));
    }

    private List<String> play(Map<String, Set<String>> pools) {
        setup.groups = true;
        Balancer b = balancer(12);
        b.poolsChanged(0, pools);
        for (long id = 1; id <= 400; id++) {
            long now = id * 5000;
            Setup.round(b, now, id);
            if (id % 50 == 0) {
                b.endpointsChanged(
                        now,
                        EndpointListKind.CHANGES,
                        List.of(setup.server((int) (id / 50), EndpointStatus.DRAINING, 0)));
                b.poolsChanged(now, pools);
            }
        }
        return recorder.take();
    }

    /** The depth of the fleet as a whole would be shallow here, and let everything through. */
    @Test
    void aFullPoolTurnsAwayItsOwnAndNobodyElses() {
        Balancer b = balancer(12);
        b.poolsChanged(
                0, Map.of("small", Set.of(name(0)), "rest", Set.of(name(5), name(6), name(7), name(8), name(9))));
        long id = 0;
        int refused = 0;
        for (int i = 0; i < 30; i++) {
            b.requestArrived(i, held(++id, "small"));
            refused += recorder.take().get(0).startsWith("refuse") ? 1 : 0;
        }
        assertTrue(refused > 20, "one server takes 4 before it is known: " + refused);
        for (int i = 0; i < 4; i++) {
            b.requestArrived(40, held(++id, "rest"));
            assertTrue(List.of(name(5), name(6), name(7), name(8), name(9)).contains(recorder.sentTo()));
            b.requestArrived(40, Setup.request(++id));
            assertTrue(recorder.sentTo().startsWith("server"));
        }
    }

    @Test
    void aPoolThatEmptiesWhileOneWaitsHoldsItUntilItIsRoutedAnew() {
        Balancer b = balancer(4);
        b.poolsChanged(0, Map.of("p", Set.of(name(0)), "q", Set.of(name(1))));
        b.endpointsChanged(0, EndpointListKind.CHANGES, List.of(setup.server(0, EndpointStatus.DRAINING, 0)));
        b.requestArrived(1, held(1, "p"));
        List<String> lines = recorder.take();
        assertTrue(lines.size() == 1 && lines.get(0).startsWith("timer"), lines.toString());
        long token = Long.parseLong(lines.get(0).split(" ")[2]);
        b.timerFired(200_000, token);
        assertTrue(recorder.take().get(0).startsWith("timer"), "still held, as there is time");
        assertEquals(0, b.eligibleCount(200_000, "p"));
        assertEquals(1, b.eligibleCount(200_000, "q"));
        assertEquals(3, b.eligibleCount(200_000, null));
        b.requestRerouted(210_000, 1, "q");
        b.timerFired(400_000, token);
        assertEquals(name(1), recorder.sentTo());
    }

    @Test
    void aPoolThatIsDroppedAnswersWhoWaitsAndLeavesWhatStands() {
        Balancer b = balancer(4);
        b.poolsChanged(0, Map.of("p", Set.of(name(0))));
        b.requestArrived(1, held(1, "p"));
        assertEquals(name(0), recorder.sentTo());
        b.attemptEstablished(2, 1, 0, 10);
        b.poolsChanged(3, Map.of());
        assertEquals(List.of(), recorder.take(), "what stands is not touched");
        b.requestArrived(4, held(2, "p"));
        String timer = recorder.take().get(0);
        b.timerFired(1_700_000, Long.parseLong(timer.split(" ")[2]));
        assertEquals(List.of("refuse 2"), recorder.take(), "and can come again");
        Setup.end(b, 1_800_000, 1, 0, true, Outcome.OK);
        assertEquals(0, b.parts.requests.size());
    }

    /** A group's places are of its pool; without that it would be sent to whoever held it elsewhere. */
    @Test
    void groupsStayTogetherWithinTheirPool() {
        setup.groups = true;
        Balancer b = balancer(12);
        Set<String> pool = Set.of(name(1), name(2), name(3), name(4));
        b.poolsChanged(0, Map.of("p", pool));
        Set<String> used = new HashSet<>();
        for (long id = 1; id <= 12; id++) {
            b.requestArrived(id * 1000, held(2 * id, null, "g"));
            recorder.take();
            b.attemptEstablished(id * 1000, 2 * id, 0, 10);
            b.latencyReported(id * 1000, 2 * id, 5);
            b.requestArrived(id * 1000, held(2 * id + 1, "p", "g"));
            used.add(recorder.sentTo());
            b.attemptEstablished(id * 1000, 2 * id + 1, 0, 10);
        }
        assertTrue(pool.containsAll(used) && used.size() <= 2, used.toString());
    }

    /** Every sum over a pool is what counting anew gives, whatever came and in whatever order. */
    @Property(tries = 60, seed = "51", shrinking = ShrinkingMode.OFF)
    void sendsStayInsideTheirPoolAndTheSumsAreRight(@ForAll long seed) {
        Random random = new Random(seed);
        Map<Long, String> heldTo = new HashMap<>();
        Map<String, Set<String>> pools = new HashMap<>();
        Set<String> serving = new HashSet<>();
        Map<Long, Integer> out = new HashMap<>();
        Map<Long, Integer> attempts = new HashMap<>();
        Balancer[] b = new Balancer[1];
        b[0] = new Balancer(setup.settings(), seed, 0, new DelegateActions(new Recorder()) {
            @Override
            public void startAttempt(long requestId, String server, long timeoutUs) {
                assertTrue(serving.contains(server), server + " does not serve");
                String pool = heldTo.get(requestId);
                assertTrue(
                        pool == null || pools.getOrDefault(pool, Set.of()).contains(server),
                        server + " is not of " + pool);
                out.put(requestId, attempts.merge(requestId, 1, Integer::sum) - 1);
            }
        });
        long now = 0;
        for (long id = 1; id < 1500; id++) {
            now += random.nextInt(20_000);
            switch (random.nextInt(8)) {
                case 0 -> {
                    int i = random.nextInt(10);
                    EndpointStatus state = EndpointStatus.values()[random.nextInt(5) % 3];
                    if (state == EndpointStatus.SERVING) {
                        serving.add(name(i));
                    } else {
                        serving.remove(name(i));
                    }
                    b[0].endpointsChanged(
                            now,
                            EndpointListKind.CHANGES,
                            List.of(setup.server(i, state, random.nextBoolean() ? now : 0)));
                }
                case 1 -> {
                    if (random.nextInt(3) == 0) {
                        pools.clear();
                        for (String p : List.of("p", "q", "r")) {
                            Set<String> members = new HashSet<>();
                            for (int i = 0; i < 10; i++) {
                                members.addAll(random.nextInt(3) == 0 ? Set.of(name(i)) : Set.of());
                            }
                            if (random.nextInt(4) > 0) {
                                pools.put(p, members);
                            }
                        }
                        b[0].poolsChanged(now, Map.copyOf(pools));
                    }
                }
                case 2, 3 -> {
                    for (Long open : List.copyOf(out.keySet())) {
                        int attempt = out.get(open);
                        if (random.nextInt(3) == 0) {
                            b[0].attemptEstablished(now, open, attempt, 100);
                            b[0].latencyReported(now, open, random.nextInt(300));
                        } else if (random.nextInt(2) == 0) {
                            out.remove(open);
                            Setup.end(b[0], now, open, attempt, true, Outcome.values()[random.nextInt(8)]);
                        }
                    }
                }
                default -> {
                    String pool = random.nextInt(3) == 0
                            ? null
                            : List.of("p", "q", "r").get(random.nextInt(3));
                    heldTo.put(id, pool);
                    b[0].requestArrived(now, held(id, pool));
                    if (random.nextInt(5) == 0) {
                        heldTo.put(id, "q");
                        b[0].requestRerouted(now, id, "q");
                    }
                }
            }
            assertEquals("", b[0].parts.inconsistencies());
        }
        assertFalse(out.isEmpty() && attempts.isEmpty());
    }
}
