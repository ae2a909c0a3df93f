package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.end;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;
import static tulipshed.decision.BalancerSetup.sendRequestWithOutcome;

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
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;

/** Requests that are restricted to a pool of endpoints. */
class EndpointPoolTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    private static NewRequest restricted(long id, String pool) {
        return restricted(id, pool, null);
    }

    private static NewRequest restricted(long id, String pool, String group) {
        return new NewRequest(id, 0, (int) (id % 2), "key" + id, group, 2 * SECOND, 0, false, false, false, pool);
    }

    @Test
    void unusedPoolsChangeNoDecision() {
        List<String> withoutPools = actionsOfRun(Map.of());
        assertTrue(withoutPools.size() > 300);
        assertEquals(
                withoutPools,
                actionsOfRun(Map.of("p", Set.of(endpointName(1), endpointName(3), "unknown"), "q", Set.of())));
    }

    private List<String> actionsOfRun(Map<String, Set<String>> pools) {
        setup.groupAffinity = true;
        Balancer balancer = setup.balancerWithEndpoints(12);
        balancer.poolsChanged(0, pools);
        for (long id = 1; id <= 400; id++) {
            long now = id * 5000;
            sendRequestWithOutcome(balancer, now, id);
            if (id % 50 == 0) {
                balancer.endpointsChanged(
                        now,
                        EndpointListKind.CHANGES,
                        List.of(setup.endpoint((int) (id / 50), EndpointStatus.DRAINING, 0)));
                balancer.poolsChanged(now, pools);
            }
        }
        return recorder.take();
    }

    /** Admission goes by the depth of the pool; by the low depth of all endpoints it would admit every request. */
    @Test
    void fullPoolRejectsOnlyItsOwnRequests() {
        Balancer balancer = setup.balancerWithEndpoints(12);
        balancer.poolsChanged(
                0,
                Map.of(
                        "small",
                        Set.of(endpointName(0)),
                        "rest",
                        Set.of(endpointName(5), endpointName(6), endpointName(7), endpointName(8), endpointName(9))));
        long id = 0;
        int rejected = 0;
        for (int i = 0; i < 30; i++) {
            balancer.requestArrived(i, restricted(++id, "small"));
            rejected += recorder.take().get(0).startsWith("reject") ? 1 : 0;
        }
        assertTrue(rejected > 20, "an endpoint without observations takes 4: " + rejected);
        for (int i = 0; i < 4; i++) {
            balancer.requestArrived(40, restricted(++id, "rest"));
            assertTrue(List.of(endpointName(5), endpointName(6), endpointName(7), endpointName(8), endpointName(9))
                    .contains(recorder.attemptedEndpoint()));
            balancer.requestArrived(40, request(++id));
            assertTrue(recorder.attemptedEndpoint().startsWith("server"));
        }
    }

    @Test
    void requestOfEmptiedPoolIsHeldUntilRerouted() {
        Balancer balancer = setup.balancerWithEndpoints(4);
        balancer.poolsChanged(0, Map.of("p", Set.of(endpointName(0)), "q", Set.of(endpointName(1))));
        balancer.endpointsChanged(0, EndpointListKind.CHANGES, List.of(setup.endpoint(0, EndpointStatus.DRAINING, 0)));
        balancer.requestArrived(1, restricted(1, "p"));
        List<String> lines = recorder.take();
        assertTrue(lines.size() == 1 && lines.get(0).startsWith("timer"), lines.toString());
        long token = Long.parseLong(lines.get(0).split(" ")[2]);
        balancer.timerFired(200_000, token);
        assertTrue(recorder.take().get(0).startsWith("timer"), "still held before the deadline");
        assertEquals(0, balancer.eligibleCount(200_000, "p"));
        assertEquals(1, balancer.eligibleCount(200_000, "q"));
        assertEquals(3, balancer.eligibleCount(200_000, null));
        balancer.requestRerouted(210_000, 1, "q");
        balancer.timerFired(400_000, token);
        assertEquals(endpointName(1), recorder.attemptedEndpoint());
    }

    @Test
    void removedPoolKeepsEstablishedRequestAndRejectsNewOne() {
        Balancer balancer = setup.balancerWithEndpoints(4);
        balancer.poolsChanged(0, Map.of("p", Set.of(endpointName(0))));
        balancer.requestArrived(1, restricted(1, "p"));
        assertEquals(endpointName(0), recorder.attemptedEndpoint());
        balancer.attemptEstablished(2, 1, 0, 10);
        balancer.poolsChanged(3, Map.of());
        assertEquals(List.of(), recorder.take(), "the established connection is kept");
        balancer.requestArrived(4, restricted(2, "p"));
        String timer = recorder.take().get(0);
        balancer.timerFired(1_700_000, Long.parseLong(timer.split(" ")[2]));
        assertEquals(List.of("reject 2"), recorder.take(), "the client may retry");
        end(balancer, 1_800_000, 1, 0, true, Outcome.OK);
        assertEquals(0, balancer.parts.requests.size());
    }

    /** A group has separate preferred endpoints and holders in each pool. */
    @Test
    void keepsGroupsTogetherWithinTheirPool() {
        setup.groupAffinity = true;
        Balancer balancer = setup.balancerWithEndpoints(12);
        Set<String> pool = Set.of(endpointName(1), endpointName(2), endpointName(3), endpointName(4));
        balancer.poolsChanged(0, Map.of("p", pool));
        Set<String> used = new HashSet<>();
        for (long id = 1; id <= 12; id++) {
            balancer.requestArrived(id * 1000, restricted(2 * id, null, "g"));
            recorder.take();
            balancer.attemptEstablished(id * 1000, 2 * id, 0, 10);
            balancer.latencyReported(id * 1000, 2 * id, 5);
            balancer.requestArrived(id * 1000, restricted(2 * id + 1, "p", "g"));
            used.add(recorder.attemptedEndpoint());
            balancer.attemptEstablished(id * 1000, 2 * id + 1, 0, 10);
        }
        assertTrue(pool.containsAll(used) && used.size() <= 2, used.toString());
    }

    /** After any sequence of events, each sum over a pool equals a recount. */
    @Property(tries = 60, seed = "51", shrinking = ShrinkingMode.OFF)
    void attemptsStayInTheirPoolAndSumsAreConsistent(@ForAll long seed) {
        PoolEvents events = new PoolEvents(seed);
        for (long id = 1; id < 1500; id++) {
            events.step(id);
            assertEquals("", events.balancer.parts.inconsistencies());
        }
        assertFalse(events.openAttempts.isEmpty() && events.attempts.isEmpty());
    }

    /** A random sequence of events; asserts that each attempt goes to a serving endpoint of its request's pool. */
    private final class PoolEvents {
        private static final List<String> POOL_NAMES = List.of("p", "q", "r");
        private final Random random;
        private final Map<Long, String> poolOf = new HashMap<>();
        private final Map<String, Set<String>> pools = new HashMap<>();
        private final Set<String> serving = new HashSet<>();
        private final Map<Long, Integer> openAttempts = new HashMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Balancer balancer;
        private long now;

        PoolEvents(long seed) {
            random = new Random(seed);
            balancer = new Balancer(setup.settings(), seed, 0, new ForwardingActions(new RecordingActions()) {
                @Override
                public void startAttempt(long requestId, String endpointId, long timeoutUs) {
                    assertTrue(serving.contains(endpointId), endpointId + " is not serving");
                    String pool = poolOf.get(requestId);
                    assertTrue(
                            pool == null || pools.getOrDefault(pool, Set.of()).contains(endpointId),
                            endpointId + " is not in pool " + pool);
                    openAttempts.put(requestId, attempts.merge(requestId, 1, Integer::sum) - 1);
                }
            });
        }

        void step(long id) {
            now += random.nextInt(20_000);
            switch (random.nextInt(8)) {
                case 0 -> changeStatus();
                case 1 -> changePools();
                case 2, 3 -> continueAttempts();
                default -> sendRequest(id);
            }
        }

        private void changeStatus() {
            int i = random.nextInt(10);
            EndpointStatus status = EndpointStatus.values()[random.nextInt(5) % 3];
            if (status == EndpointStatus.SERVING) {
                serving.add(endpointName(i));
            } else {
                serving.remove(endpointName(i));
            }
            balancer.endpointsChanged(
                    now, EndpointListKind.CHANGES, List.of(setup.endpoint(i, status, random.nextBoolean() ? now : 0)));
        }

        private void changePools() {
            if (random.nextInt(3) != 0) {
                return;
            }
            pools.clear();
            for (String pool : POOL_NAMES) {
                Set<String> endpoints = new HashSet<>();
                for (int i = 0; i < 10; i++) {
                    endpoints.addAll(random.nextInt(3) == 0 ? Set.of(endpointName(i)) : Set.of());
                }
                if (random.nextInt(4) > 0) {
                    pools.put(pool, endpoints);
                }
            }
            balancer.poolsChanged(now, Map.copyOf(pools));
        }

        private void continueAttempts() {
            for (Long requestId : List.copyOf(openAttempts.keySet())) {
                int attempt = openAttempts.get(requestId);
                if (random.nextInt(3) == 0) {
                    balancer.attemptEstablished(now, requestId, attempt, 100);
                    balancer.latencyReported(now, requestId, random.nextInt(300));
                } else if (random.nextInt(2) == 0) {
                    openAttempts.remove(requestId);
                    end(balancer, now, requestId, attempt, true, Outcome.values()[random.nextInt(8)]);
                }
            }
        }

        private void sendRequest(long id) {
            String pool = random.nextInt(3) == 0 ? null : POOL_NAMES.get(random.nextInt(3));
            poolOf.put(id, pool);
            balancer.requestArrived(now, restricted(id, pool));
            if (random.nextInt(5) == 0) {
                poolOf.put(id, "q");
                balancer.requestRerouted(now, id, "q");
            }
        }
    }
}
