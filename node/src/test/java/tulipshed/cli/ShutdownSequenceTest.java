package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.limits.Limits;
import tulipshed.limits.ShutdownLimits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.EventLoop;
import tulipshed.time.ManualClock;

/** The phases of a shutdown in virtual time, with clients that connect during it, hang, or never close. */
class ShutdownSequenceTest {
    /** How long new clients connect after SIGTERM. */
    private static final double ARRIVALS_MS = 400;

    private static final double KILL_AFTER_DEADLINE_MS = 700;
    private static final double STALL_MS = 150;
    private static final double MAX_COUNTED_DEADLINE_MS = 3_000;

    /** The time before the client's deadline at which the core sends the final response at the latest. */
    private static final double RESPONSE_MARGIN_MS = 40;

    private final ShutdownLimits limits = Limits.forDescriptors(1024).shutdown();
    private final ManualClock clock = new ManualClock(0);
    private final VirtualLoop loop = new VirtualLoop();
    private final FakeNode node = new FakeNode();

    /** Runs tasks in the order of their times; can be paused once, before the first task at or after a given time. */
    private final class VirtualLoop implements EventLoop {
        private final PriorityQueue<Task> tasks = new PriorityQueue<>();
        private double stallAtMs = Double.POSITIVE_INFINITY;
        private long added;

        private record Task(double atMs, long sequence, Runnable action) implements Comparable<Task> {
            @Override
            public int compareTo(Task other) {
                int byTime = Double.compare(atMs, other.atMs);
                return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
            }
        }

        @Override
        public void execute(Runnable action) {
            schedule(0, action);
        }

        @Override
        public void schedule(double ms, Runnable action) {
            tasks.add(new Task(clock.nowMs() + Math.ceil(Math.max(0, ms)), added++, action));
        }

        void run() {
            while (!tasks.isEmpty()) {
                Task task = tasks.poll();
                clock.advance(task.atMs - clock.nowMs());
                if (clock.nowMs() >= stallAtMs) {
                    stallAtMs = Double.POSITIVE_INFINITY;
                    clock.advance(STALL_MS);
                }
                task.action.run();
            }
        }
    }

    /** A node whose clients never close their connections, which is the worst case. */
    private final class FakeNode implements ShutdownSequence.Actions {
        private final List<Double> pendingSinceMs = new ArrayList<>();
        /** The times at which the kernel accepts connections. */
        private final ArrayDeque<Double> arrivalsMs = new ArrayDeque<>();

        private int established;
        private int waiting;
        private boolean idle;
        private double acceptedUntilMs = Double.NaN;
        private double firstRejectionMs = Double.NaN;
        private double lastWriteMs;
        private double finishedMs = Double.NaN;
        private int finishes;
        private int migratedInStep;
        private RuntimeException defect;

        /** Accepts the clients that have connected by now; the endpoint of every second one hangs. */
        void acceptArrivals() {
            while (!arrivalsMs.isEmpty() && arrivalsMs.peek() <= clock.nowMs() && Double.isNaN(acceptedUntilMs)) {
                if (arrivalsMs.poll() % 20 == 0) {
                    established++;
                } else {
                    pendingSinceMs.add(clock.nowMs());
                }
            }
        }

        @Override
        public void stopAccepting() {
            acceptArrivals();
            acceptedUntilMs = clock.nowMs();
        }

        @Override
        public int establishedCount() {
            migratedInStep = 0;
            return established;
        }

        @Override
        public boolean migrateOldest() {
            if (established == 0) {
                return false;
            }
            established--;
            migratedInStep++;
            lastWriteMs = clock.nowMs();
            return true;
        }

        @Override
        public void rejectWaiting() {
            lastWriteMs = waiting > 0 ? clock.nowMs() : lastWriteMs;
            waiting = 0;
        }

        @Override
        public void rejectPending() {
            if (defect != null) {
                throw defect;
            }
            if (Double.isNaN(firstRejectionMs)) {
                firstRejectionMs = clock.nowMs();
            }
            lastWriteMs = pendingSinceMs.isEmpty() ? lastWriteMs : clock.nowMs();
            pendingSinceMs.clear();
        }

        @Override
        public boolean isIdle() {
            return idle;
        }

        @Override
        public void finish() {
            finishes++;
            finishedMs = clock.nowMs();
        }
    }

    private void shutDown(ShutdownSchedule schedule) {
        new ShutdownSequence(schedule, 0, clock, loop, NodeLog.silent().logger("node"), node).run();
    }

    /** Schedules clients throughout the time in which the load balancer in front of the node still sends any. */
    private void scheduleArrivals() {
        for (double atMs = 0; atMs <= ARRIVALS_MS; atMs += 10) {
            node.arrivalsMs.add(atMs);
            loop.schedule(atMs - clock.nowMs(), node::acceptArrivals);
        }
        node.established = 200;
        node.waiting = 5;
        node.pendingSinceMs.add(0.0);
    }

    private static double killMs(double deadlineMs) {
        return Math.min(MAX_COUNTED_DEADLINE_MS, deadlineMs) + KILL_AFTER_DEADLINE_MS;
    }

    private void assertAllAnswered() {
        assertEquals(1, node.finishes);
        assertEquals(0, node.established, "all migrated");
        assertEquals(List.of(), node.pendingSinceMs, "all answered");
        assertEquals(0, node.waiting);
        assertEquals(0, node.arrivalsMs.size(), "all arrivals accepted");
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 50, 100, 150, 200, 250, 300, 500, 1000, 2999, 3000, 4800, 60_000})
    void endsBeforeTheProcessMayBeKilledAndAcceptsAllArrivals(int deadlineMs) {
        scheduleArrivals();
        shutDown(ShutdownSchedule.of(limits, deadlineMs));
        loop.run();
        assertAllAnswered();
        double countedMs = Math.min(MAX_COUNTED_DEADLINE_MS, deadlineMs);
        assertTrue(node.acceptedUntilMs >= Math.min(500, countedMs + 450), "accepted until " + node.acceptedUntilMs);
        assertTrue(node.lastWriteMs + 50 <= node.finishedMs, "the last answer can still be read");
        assertTrue(node.finishedMs + limits.exitMs() <= killMs(deadlineMs) - STALL_MS, "ended " + node.finishedMs);
        assertTrue(
                node.firstRejectionMs >= ARRIVALS_MS + countedMs - RESPONSE_MARGIN_MS,
                "the latest request keeps its deadline, up to the longest one that counts");
    }

    @ParameterizedTest
    @ValueSource(ints = {50, 120, 300, 1000, 3000})
    void oneStallAtAnyTimeLeavesAllAnsweredInTime(int deadlineMs) {
        for (int stallAtMs = 0; stallAtMs < killMs(deadlineMs); stallAtMs += 7) {
            ShutdownSequenceTest run = new ShutdownSequenceTest();
            run.loop.stallAtMs = stallAtMs;
            run.scheduleArrivals();
            run.shutDown(ShutdownSchedule.of(limits, deadlineMs));
            run.loop.run();
            run.assertAllAnswered();
            assertTrue(
                    run.node.finishedMs + limits.exitMs() <= killMs(deadlineMs),
                    "stalled at " + stallAtMs + ", ended " + run.node.finishedMs);
        }
    }

    /** The event loop may be busy when the signal arrives; that delay must not extend the shutdown. */
    @Test
    void lateBeginDoesNotDelayTheEnd() {
        clock.advance(STALL_MS);
        scheduleArrivals();
        shutDown(ShutdownSchedule.of(limits, 1000));
        loop.run();
        assertTrue(node.finishedMs + limits.exitMs() <= killMs(1000) - STALL_MS, "ended " + node.finishedMs);
    }

    @Test
    void migrationIsSpreadOverItsTime() {
        node.established = 1000;
        ShutdownSchedule schedule = ShutdownSchedule.of(limits, 3000);
        List<Integer> batchSizes = new ArrayList<>();
        shutDown(schedule);
        Random random = new Random(1);
        for (double atMs = 10; atMs < schedule.migrateUntilMs(); atMs += 10 + random.nextInt(10)) {
            loop.schedule(atMs, () -> batchSizes.add(node.migratedInStep));
        }
        loop.run();
        assertEquals(0, node.established);
        assertTrue(batchSizes.stream().mapToInt(Integer::intValue).max().orElseThrow() <= 30, batchSizes.toString());
    }

    @Test
    void afterHandoverItMigratesAtOnceAndEndsOnceIdle() {
        node.established = 10;
        node.idle = true;
        ShutdownSchedule schedule = ShutdownSchedule.of(limits, 50).afterHandover();
        node.idle = false;
        loop.schedule(120, () -> node.idle = true);
        shutDown(schedule);
        loop.run();
        assertEquals(0, node.acceptedUntilMs);
        assertTrue(node.finishedMs >= 120 && node.finishedMs <= 150, "ended " + node.finishedMs);
    }

    @Test
    void handoverWithClientsThatStayEndsInTimeToo() {
        node.established = 10;
        node.pendingSinceMs.add(0.0);
        shutDown(ShutdownSchedule.of(limits, 50).afterHandover());
        loop.run();
        assertAllAnswered();
        assertTrue(node.finishedMs + limits.exitMs() <= killMs(50) - STALL_MS);
    }

    /** A step that always fails must not keep the process running until it is killed. */
    @Test
    void endsInTimeDespiteADefectInAStep() {
        node.defect = new IllegalStateException("defect");
        shutDown(ShutdownSchedule.of(limits, 1000));
        loop.run();
        assertEquals(1, node.finishes);
    }
}
