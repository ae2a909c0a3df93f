package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The order of timers, and their cancellation. */
class TimerQueueTest {
    /** Upper bound of the cancelled timers in the queue, in addition to the number of pending timers. */
    private static final int MAX_UNSWEPT = 1100;

    /** Regression: after a wakeup that rounding made early, no other was scheduled, so that the final response came late. */
    @Test
    void schedulesAnotherWakeupAfterAnEarlyOne() {
        TimerQueue queue = new TimerQueue();
        WakeupRecorder loop = new WakeupRecorder();
        List<Double> ranAtMs = new ArrayList<>();
        double deadlineMs = 100;
        queue.add(deadlineMs, () -> ranAtMs.add(deadlineMs));
        queue.scheduleWakeup(0, loop, () -> {});
        double earlyMs = Math.nextDown(deadlineMs);
        loop.runNext();
        queue.runExpired(earlyMs, Runnable::run);
        queue.scheduleWakeup(earlyMs, loop, () -> {});
        assertEquals(List.of(), ranAtMs);
        assertEquals(List.of(deadlineMs - earlyMs), loop.delaysMs);
        loop.runNext();
        queue.runExpired(deadlineMs, Runnable::run);
        assertEquals(List.of(deadlineMs), ranAtMs);
    }

    /** A batch that runs before a scheduled wakeup does not schedule a second one. */
    @Test
    void schedulesNoSecondWakeupWhileOneIsPending() {
        TimerQueue queue = new TimerQueue();
        WakeupRecorder loop = new WakeupRecorder();
        queue.add(100, () -> {});
        queue.scheduleWakeup(0, loop, () -> {});
        queue.scheduleWakeup(50, loop, () -> {});
        assertEquals(List.of(100.0), loop.delaysMs);
    }

    /** An event loop that runs its tasks when the test calls {@link #runNext}. */
    private static final class WakeupRecorder implements EventLoop {
        final List<Double> delaysMs = new ArrayList<>();
        private final List<Runnable> tasks = new ArrayList<>();

        @Override
        public void execute(Runnable task) {
            schedule(0, task);
        }

        @Override
        public void schedule(double ms, Runnable task) {
            delaysMs.add(ms);
            tasks.add(task);
        }

        void runNext() {
            delaysMs.remove(0);
            tasks.remove(0).run();
        }
    }

    /** Each timer runs at its deadline unless it has been cancelled, and the number of retained cancelled timers is bounded. */
    @Property(tries = 200, seed = "95")
    void runsTimersInOrderAndReleasesCancelledOnes(@ForAll long seed) {
        Random random = new Random(seed);
        TimerQueue queue = new TimerQueue();
        TreeMap<Double, List<Integer>> pendingByDeadline = new TreeMap<>();
        List<Integer> ran = new ArrayList<>();
        List<Integer> expected = new ArrayList<>();
        List<TimerQueue.Timer> timers = new ArrayList<>();
        List<Double> deadlines = new ArrayList<>();
        double nowMs = 0;
        int pending = 0;
        for (int index = 0; index < 6000; index++) {
            double deadlineMs = nowMs + random.nextInt(1, 100_000);
            int number = index;
            timers.add(queue.add(deadlineMs, () -> ran.add(number)));
            deadlines.add(deadlineMs);
            pendingByDeadline
                    .computeIfAbsent(deadlineMs, unused -> new ArrayList<>())
                    .add(index);
            pending++;
            int other = random.nextInt(timers.size());
            if (random.nextInt(20) > 0
                    && deadlines.get(other) > nowMs
                    && pendingByDeadline.get(deadlines.get(other)).remove((Integer) other)) {
                timers.get(other).cancel();
                timers.get(other).cancel();
                pending--;
            }
            if (random.nextInt(100) == 0) {
                nowMs += random.nextInt(3000);
                queue.runExpired(nowMs, Runnable::run);
                while (!pendingByDeadline.isEmpty() && pendingByDeadline.firstKey() <= nowMs) {
                    expected.addAll(pendingByDeadline.pollFirstEntry().getValue());
                }
                assertEquals(expected, ran);
                pending =
                        pendingByDeadline.values().stream().mapToInt(List::size).sum();
            }
            assertTrue(queue.size() <= 2 * pending + MAX_UNSWEPT, queue.size() + " retained for " + pending);
        }
    }
}
