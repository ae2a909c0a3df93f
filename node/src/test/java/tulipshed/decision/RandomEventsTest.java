package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;
import static tulipshed.decision.Setup.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.Idempotency;
import tulipshed.decision.BalancerApi.Outcome;

/** Long random sequences of legal events; the rules are checked after each action. */
class RandomEventsTest {

    /** Plays the world's part by chance and checks the rules that one instance can break. */
    private static final class World extends DelegateActions {
        final Recorder recorder = new Recorder();
        final Setup setup = new Setup();
        final Random random;
        final Balancer balancer;
        final Map<Long, Integer> outstanding = new HashMap<>();
        final Map<Long, Boolean> standing = new HashMap<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        final Map<Long, Boolean> mayHaveRun = new HashMap<>();
        final Set<Long> open = new HashSet<>();
        final Set<String> ready = new HashSet<>();
        final List<long[]> timers = new ArrayList<>();
        long now = 1;
        long lastId;

        World(long seed, Idempotency effect) {
            super(new Recorder());
            random = new Random(seed);
            setup.effect = effect;
            setup.groups = seed % 2 == 0;
            balancer = new Balancer(setup.settings(), seed, now, this);
        }

        @Override
        public void startAttempt(long requestId, String server, long timeoutUs) {
            recorder.startAttempt(requestId, server, timeoutUs);
            assertTrue(open.contains(requestId), "sent after its answer: " + requestId);
            assertTrue(ready.contains(server), "sent to a server that is not ready: " + server);
            assertTrue(!outstanding.containsKey(requestId), "two attempts at once: " + requestId);
            if (setup.effect == Idempotency.NOT_IDEMPOTENT) {
                assertTrue(!mayHaveRun.getOrDefault(requestId, false), "effect twice: " + requestId);
            }
            int attempt = attempts.merge(requestId, 1, Integer::sum);
            assertTrue(attempt <= setup.maxAttempts, "too many attempts");
            outstanding.put(requestId, attempt - 1);
            standing.put(requestId, false);
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            recorder.reject(requestId, retryAfterUs);
            answer(requestId);
            if (setup.effect == Idempotency.NOT_IDEMPOTENT) {
                assertTrue(!mayHaveRun.getOrDefault(requestId, false), "refused what may have run: " + requestId);
            }
        }

        @Override
        public void fail(long requestId) {
            recorder.fail(requestId);
            answer(requestId);
        }

        @Override
        public void migrate(long requestId) {
            recorder.migrate(requestId);
            assertTrue(standing.getOrDefault(requestId, false), "moved what does not stand");
            answer(requestId);
        }

        @Override
        public void scheduleTimer(long afterUs, long token) {
            recorder.scheduleTimer(afterUs, token);
            timers.add(new long[] {now + afterUs, token});
        }

        private void answer(long requestId) {
            if (!open.remove(requestId)) {
                throw new AssertionError("answered twice: " + requestId);
            }
        }

        void step() {
            now += random.nextInt(20_000);
            for (int i = timers.size() - 1; i >= 0; i--) {
                if (timers.get(i)[0] <= now) {
                    balancer.timerFired(now, timers.remove(i)[1]);
                }
            }
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> {
                    long id = ++lastId;
                    open.add(id);
                    balancer.requestArrived(
                            now,
                            Setup.request(
                                    id, random.nextInt(2), setup.groups ? "g" + random.nextInt(5) : null, 2 * SECOND));
                }
                case 3 -> list();
                case 4 -> {
                    Long id = any();
                    if (id != null && open.remove(id)) {
                        balancer.requestCancelled(now, id);
                    }
                }
                case 5 -> {
                    Long id = any();
                    if (id != null && standing.get(id)) {
                        balancer.latencyReported(now, id, random.nextInt(400));
                        balancer.loadReported(now, id, random.nextInt(9000));
                    }
                }
                case 6, 7 -> {
                    Long id = any();
                    if (id != null && !standing.get(id) && open.contains(id)) {
                        standing.put(id, true);
                        mayHaveRun.put(id, true);
                        balancer.attemptEstablished(now, id, outstanding.get(id), 1 + random.nextInt(50_000));
                    }
                }
                default -> {
                    Long id = any();
                    if (id != null) {
                        finish(id);
                    }
                }
            }
        }

        private Long any() {
            int n = outstanding.size();
            return n == 0
                    ? null
                    : outstanding.keySet().stream()
                            .sorted()
                            .skip(random.nextInt(n))
                            .findFirst()
                            .orElseThrow();
        }

        void finish(long id) {
            Outcome[] all = Outcome.values();
            Outcome outcome = standing.get(id) ? Outcome.RESET : all[random.nextInt(all.length)];
            int attempt = outstanding.remove(id);
            boolean concluded = !open.contains(id) || outcome == Outcome.OK || standing.get(id);
            open.removeAll(concluded ? Set.of(id) : Set.of());
            if (!outcome.neverRan) {
                mayHaveRun.put(id, true);
            }
            Setup.end(balancer, now, id, attempt, concluded, outcome);
        }

        private void list() {
            int i = random.nextInt(12);
            EndpointStatus state = EndpointStatus.values()[random.nextInt(5) % 3];
            if (state == EndpointStatus.SERVING) {
                ready.add(Setup.name(i));
            } else {
                ready.remove(Setup.name(i));
            }
            balancer.endpointsChanged(
                    now, EndpointListKind.CHANGES, List.of(setup.server(i, state, random.nextBoolean() ? now : 0)));
        }

        /** Ends all that is open, long after; whatever was held must have been answered by then. */
        void settle() {
            now += 10 * SECOND;
            while (!timers.isEmpty()) {
                balancer.timerFired(now, timers.remove(0)[1]);
            }
            while (!outstanding.isEmpty()) {
                finish(outstanding.keySet().iterator().next());
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void theRulesHoldUnderAnyOrderOfEvents(Idempotency effect) {
        for (long seed = 0; seed < 20; seed++) {
            World world = new World(seed, effect);
            for (int i = 0; i < 4000; i++) {
                world.step();
            }
            world.settle();
            assertTrue(world.lastId > 500);
            assertEquals(Set.of(), world.open, "requests never answered, seed " + seed);
            assertEquals(0, world.balancer.parts.requests.size(), "requests kept for nothing, seed " + seed);
        }
    }

    @Test
    void theChecksCanFail() {
        World world = new World(1, Idempotency.NOT_IDEMPOTENT);
        world.open.add(1L);
        world.ready.add("s");
        world.startAttempt(1, "s", 0);
        for (Runnable wrong : List.<Runnable>of(
                () -> world.startAttempt(1, "s", 0),
                () -> world.startAttempt(2, "s", 0),
                () -> world.reject(3, 0),
                () -> world.migrate(1))) {
            try {
                wrong.run();
            } catch (AssertionError seen) {
                continue;
            }
            fail("a broken rule went unseen");
        }
    }

    @Test
    void theSameEventsGiveTheSameActionsAndNamesDoNotMatter() {
        List<String> first = play(3, "");
        assertTrue(first.size() > 300);
        assertEquals(first, play(3, ""));
        assertEquals(first, play(3, "renamed-"));
        assertNotEquals(first, play(4, ""));
    }

    private static List<String> play(long seed, String prefix) {
        Recorder recorder = new Recorder();
        Setup setup = new Setup();
        setup.prefix = prefix;
        setup.groups = true;
        Balancer b = setup.balancer(recorder, seed);
        setup.list(b, 0, 15);
        for (long id = 1; id <= 400; id++) {
            long now = id * 5000;
            Setup.round(b, now, id);
            if (id % 11 == 0) {
                b.latencyReported(now, id - 1, 180);
            }
        }
        return recorder.take();
    }
}
