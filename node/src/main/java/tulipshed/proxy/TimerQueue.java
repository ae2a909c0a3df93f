package tulipshed.proxy;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Timers ordered by deadline; timers with equal deadlines run in the order in which they were added. Confined to the
 * event-loop thread.
 */
final class TimerQueue {
    /** Up to this number of cancelled timers, removing them costs more than keeping them. */
    private static final int MIN_CANCELLED_FOR_SWEEP = 1024;

    /** Later than any deadline. */
    private static final double NO_WAKEUP_MS = Double.MAX_VALUE;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    /** Time of the scheduled wakeup, {@link #NO_WAKEUP_MS} if none is scheduled. */
    private double wakeupMs = NO_WAKEUP_MS;

    private long addedCount;
    private int cancelledCount;

    /**
     * A task with a deadline. Cancel timers that are no longer needed: most timeouts never expire, and an uncancelled timer
     * keeps its request in memory until the deadline. At a high request rate these would be many times the open requests.
     */
    final class Timer implements Comparable<Timer> {
        private final double deadlineMs;
        private final long sequence;
        /** Null once the timer has run or has been cancelled. */
        private Runnable task;

        private Timer(double deadlineMs, long sequence, Runnable task) {
            this.deadlineMs = deadlineMs;
            this.sequence = sequence;
            this.task = task;
        }

        /** Cancels the timer and releases its task; no effect if it has run or has been cancelled. */
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

    /** Adds a timer for the task. */
    Timer add(double deadlineMs, Runnable task) {
        Timer timer = new Timer(deadlineMs, addedCount++, task);
        timers.add(timer);
        return timer;
    }

    /** Passes every task with a deadline of at most {@code nowMs} to the runner, including ones added meanwhile. */
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

    /** Schedules {@code wakeup} on the loop at the next deadline, unless a wakeup by then is already scheduled. */
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
            clearWakeup(atMs);
            wakeup.run();
        });
    }

    /** Clears the scheduled wakeup once it runs, so that another is scheduled; the loop may run it before its time. */
    private void clearWakeup(double scheduledMs) {
        if (wakeupMs == scheduledMs) {
            wakeupMs = NO_WAKEUP_MS;
        }
    }

    /** The number of timers in the queue, including cancelled ones that have not been removed yet. */
    int size() {
        return timers.size();
    }
}
