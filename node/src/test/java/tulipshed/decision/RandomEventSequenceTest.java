package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;
import static tulipshed.decision.BalancerSetup.SECOND;
import static tulipshed.decision.BalancerSetup.end;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;
import static tulipshed.decision.BalancerSetup.sendRequestWithOutcome;

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
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Idempotency;
import tulipshed.decision.api.Outcome;

/** Long random sequences of legal events; the invariants are checked at each action. */
class RandomEventSequenceTest {

    /** Simulates clients, endpoints and timers at random, and checks the invariants of the actions. */
    private static final class Simulation extends ForwardingActions {
        final RecordingActions recorder = new RecordingActions();
        final BalancerSetup setup = new BalancerSetup();
        final Random random;
        final Balancer balancer;
        final Map<Long, Integer> outstanding = new HashMap<>();
        final Map<Long, Boolean> established = new HashMap<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        final Map<Long, Boolean> mayHaveExecuted = new HashMap<>();
        final Set<Long> unanswered = new HashSet<>();
        final Set<String> ready = new HashSet<>();
        final List<long[]> timers = new ArrayList<>();
        long now = 1;
        long lastId;

        Simulation(long seed, Idempotency idempotency) {
            super(new RecordingActions());
            random = new Random(seed);
            setup.idempotency = idempotency;
            setup.groupAffinity = seed % 2 == 0;
            balancer = new Balancer(setup.settings(), seed, now, this);
        }

        @Override
        public void startAttempt(long requestId, String endpointId, long timeoutUs) {
            recorder.startAttempt(requestId, endpointId, timeoutUs);
            assertTrue(unanswered.contains(requestId), "attempt after the final response: " + requestId);
            assertTrue(ready.contains(endpointId), "attempt at an endpoint that is not ready: " + endpointId);
            assertTrue(!outstanding.containsKey(requestId), "concurrent attempts: " + requestId);
            if (setup.idempotency == Idempotency.NOT_IDEMPOTENT) {
                assertTrue(!mayHaveExecuted.getOrDefault(requestId, false), "executed twice: " + requestId);
            }
            int attempt = attempts.merge(requestId, 1, Integer::sum);
            assertTrue(attempt <= setup.maxAttempts, "too many attempts");
            outstanding.put(requestId, attempt - 1);
            established.put(requestId, false);
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            recorder.reject(requestId, retryAfterUs);
            recordFinalResponse(requestId);
            if (setup.idempotency == Idempotency.NOT_IDEMPOTENT) {
                assertTrue(
                        !mayHaveExecuted.getOrDefault(requestId, false),
                        "rejected a request that may have executed: " + requestId);
            }
        }

        @Override
        public void fail(long requestId) {
            recorder.fail(requestId);
            recordFinalResponse(requestId);
        }

        @Override
        public void migrate(long requestId) {
            recorder.migrate(requestId);
            assertTrue(established.getOrDefault(requestId, false), "migrated a connection that is not established");
            recordFinalResponse(requestId);
        }

        @Override
        public void scheduleTimer(long afterUs, long token) {
            recorder.scheduleTimer(afterUs, token);
            timers.add(new long[] {now + afterUs, token});
        }

        private void recordFinalResponse(long requestId) {
            if (!unanswered.remove(requestId)) {
                throw new AssertionError("second final response: " + requestId);
            }
        }

        void step() {
            now += random.nextInt(20_000);
            fireTimers();
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> sendRequest();
                case 3 -> changeEndpointList();
                case 4 -> {
                    Long id = randomRequestWithAttempt();
                    if (id != null && unanswered.remove(id)) {
                        balancer.requestCancelled(now, id);
                    }
                }
                case 5 -> {
                    Long id = randomRequestWithAttempt();
                    if (id != null && established.get(id)) {
                        balancer.latencyReported(now, id, random.nextInt(400));
                        balancer.loadReported(now, id, random.nextInt(9000));
                    }
                }
                case 6, 7 -> {
                    Long id = randomRequestWithAttempt();
                    if (id != null && !established.get(id) && unanswered.contains(id)) {
                        established.put(id, true);
                        mayHaveExecuted.put(id, true);
                        balancer.attemptEstablished(now, id, outstanding.get(id), 1 + random.nextInt(50_000));
                    }
                }
                default -> {
                    Long id = randomRequestWithAttempt();
                    if (id != null) {
                        endAttempt(id);
                    }
                }
            }
        }

        private void fireTimers() {
            for (int i = timers.size() - 1; i >= 0; i--) {
                if (timers.get(i)[0] <= now) {
                    balancer.timerFired(now, timers.remove(i)[1]);
                }
            }
        }

        private void sendRequest() {
            long id = ++lastId;
            unanswered.add(id);
            int tenant = random.nextInt(2);
            String group = setup.groupAffinity ? "g" + random.nextInt(5) : null;
            balancer.requestArrived(now, request(id, tenant, group, 2 * SECOND));
        }

        private Long randomRequestWithAttempt() {
            int requestCount = outstanding.size();
            return requestCount == 0
                    ? null
                    : outstanding.keySet().stream()
                            .sorted()
                            .skip(random.nextInt(requestCount))
                            .findFirst()
                            .orElseThrow();
        }

        void endAttempt(long id) {
            Outcome[] outcomes = Outcome.values();
            Outcome outcome = established.get(id) ? Outcome.RESET : outcomes[random.nextInt(outcomes.length)];
            int attempt = outstanding.remove(id);
            boolean concluded = !unanswered.contains(id) || outcome == Outcome.OK || established.get(id);
            unanswered.removeAll(concluded ? Set.of(id) : Set.of());
            if (!outcome.neverExecuted) {
                mayHaveExecuted.put(id, true);
            }
            end(balancer, now, id, attempt, concluded, outcome);
        }

        private void changeEndpointList() {
            int i = random.nextInt(12);
            EndpointStatus status = EndpointStatus.values()[random.nextInt(5) % 3];
            if (status == EndpointStatus.SERVING) {
                ready.add(endpointName(i));
            } else {
                ready.remove(endpointName(i));
            }
            balancer.endpointsChanged(
                    now, EndpointListKind.CHANGES, List.of(setup.endpoint(i, status, random.nextBoolean() ? now : 0)));
        }

        /** Fires all timers and ends all attempts, long after the last arrival. */
        void endAll() {
            now += 10 * SECOND;
            while (!timers.isEmpty()) {
                balancer.timerFired(now, timers.remove(0)[1]);
            }
            while (!outstanding.isEmpty()) {
                endAttempt(outstanding.keySet().iterator().next());
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void invariantsHoldForRandomEventSequences(Idempotency idempotency) {
        for (long seed = 0; seed < 20; seed++) {
            Simulation simulation = new Simulation(seed, idempotency);
            for (int i = 0; i < 4000; i++) {
                simulation.step();
            }
            simulation.endAll();
            assertTrue(simulation.lastId > 500);
            assertEquals(Set.of(), simulation.unanswered, "requests without a final response, seed " + seed);
            assertEquals(0, simulation.balancer.parts.requests.size(), "requests still tracked, seed " + seed);
        }
    }

    @Test
    void invariantChecksDetectViolations() {
        Simulation simulation = new Simulation(1, Idempotency.NOT_IDEMPOTENT);
        simulation.unanswered.add(1L);
        simulation.ready.add("s");
        simulation.startAttempt(1, "s", 0);
        for (Runnable violation : List.<Runnable>of(
                () -> simulation.startAttempt(1, "s", 0),
                () -> simulation.startAttempt(2, "s", 0),
                () -> simulation.reject(3, 0),
                () -> simulation.migrate(1))) {
            try {
                violation.run();
            } catch (AssertionError expected) {
                continue;
            }
            fail("a violation was not detected");
        }
    }

    @Test
    void sameSeedAndEventsGiveSameActionsWhateverTheNames() {
        List<String> first = actionsOfRun(3, "");
        assertTrue(first.size() > 300);
        assertEquals(first, actionsOfRun(3, ""));
        assertEquals(first, actionsOfRun(3, "renamed-"));
        assertNotEquals(first, actionsOfRun(4, ""));
    }

    private static List<String> actionsOfRun(long seed, String prefix) {
        BalancerSetup setup = new BalancerSetup();
        setup.namePrefix = prefix;
        setup.groupAffinity = true;
        Balancer balancer = setup.balancer(seed);
        setup.listEndpoints(balancer, 0, 15);
        for (long id = 1; id <= 400; id++) {
            long now = id * 5000;
            sendRequestWithOutcome(balancer, now, id);
            if (id % 11 == 0) {
                balancer.latencyReported(now, id - 1, 180);
            }
        }
        return setup.recorder.take();
    }
}
