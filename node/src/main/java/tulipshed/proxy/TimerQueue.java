package tulipshed.proxy;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Timers in the order of their deadlines; those of one deadline run in the order in which they were added. Confined to the
 * event-loop thread.
 */
final class TimerQueue {
    /** Below this many cancelled timers in the queue a sweep is not worth its cost. */
    private static final int MIN_CANCELLED_FOR_SWEEP = 1024;

    /** Later than any deadline. */
    private static final double NO_WAKEUP_MS = Double.MAX_VALUE;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    /** The time of the wakeup to come. */
    private double wakeupMs = NO_WAKEUP_MS;

    private long addedCount;
    private int cancelledCount;

    /**
     * A task with a deadline. Cancel those that are no longer needed: most timeouts do not expire, and until their deadline
     * each would keep its request in memory, at a high rate many times as many as there are open requests.
     */
    final class Timer implements Comparable<Timer> {
        private final double deadlineMs;
        private final long sequence;
        /** Null once the timer has run or was cancelled. */
        private Runnable task;

        private Timer(double deadlineMs, long sequence, Runnable task) {
            this.deadlineMs = deadlineMs;
            this.sequence = sequence;
            this.task = task;
        }

        /** Releases the task, which will not run; without effect where it has run or was cancelled. */
        void cancel() {
            if (task != null) {
                task = null;
                cancelledCount++;
                sweepCancelled();
            }
        }

        private boolean isCancelled() {
            return task == null;
        }

        @Override
        public int compareTo(Timer other) {
            int byDeadline = Double.compare(deadlineMs, other.deadlineMs);
            return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
        }
    }

    private void sweepCancelled() {
        if (cancelledCount > MIN_CANCELLED_FOR_SWEEP && cancelledCount > timers.size() / 2) {
            timers.removeIf(Timer::isCancelled);
            cancelledCount = 0;
        }
    }

    /** Adds a task to run at the deadline. */
    Timer add(double deadlineMs, Runnable task) {
        Timer timer = new Timer(deadlineMs, addedCount++, task);
        timers.add(timer);
        return timer;
    }

    /** Passes all tasks whose deadline has come to the runner, also those that expire while this goes on. */
    void runExpired(double nowMs, Consumer<Runnable> runner) {
        while (!timers.isEmpty() && timers.peek().deadlineMs <= nowMs) {
            Timer timer = timers.poll();
            if (timer.isCancelled()) {
                cancelledCount--;
            } else {
                Runnable task = timer.task;
                timer.task = null;
                runner.accept(task);
            }
        }
    }

    /** Has the loop run {@code wakeup} at the next deadline, unless that is scheduled already. */
    void scheduleWakeup(double nowMs, EventLoop loop, Runnable wakeup) {
        while (!timers.isEmpty() && timers.peek().isCancelled()) {
            timers.poll();
            cancelledCount--;
        }
        if (timers.isEmpty() || (wakeupMs > nowMs && wakeupMs <= timers.peek().deadlineMs)) {
            return;
        }
        double atMs = timers.peek().deadlineMs;
        wakeupMs = atMs;
        loop.schedule(Math.max(0, atMs - nowMs), () -> {
            wakeupCame(atMs);
            wakeup.run();
        });
    }

    /** A wakeup that came, also before its time as timers of the loop may, is not one to come. */
    private void wakeupCame(double scheduledMs) {
        if (wakeupMs == scheduledMs) {
            wakeupMs = NO_WAKEUP_MS;
        }
    }

    /** How many timers are held, with cancelled ones that have not been swept yet. */
    int size() {
        return timers.size();
    }
}
