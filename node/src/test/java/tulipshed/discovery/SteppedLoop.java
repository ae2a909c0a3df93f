package tulipshed.discovery;

import java.util.PriorityQueue;
import tulipshed.proxy.EventLoop;
import tulipshed.time.Clock;

/** Event loop with a virtual clock that advances only from one task to the next. For use by one thread. */
final class SteppedLoop implements EventLoop, Clock {
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private double nowMs;
    private long taskCount;

    private record Task(double atMs, long number, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    @Override
    public void execute(Runnable task) {
        schedule(0, task);
    }

    @Override
    public void schedule(double delayMs, Runnable task) {
        tasks.add(new Task(nowMs + Math.max(0, delayMs), taskCount++, task));
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    /** Runs all tasks due by {@code endMs} milliseconds and sets the clock to that time. */
    void runUntil(double endMs) {
        while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
            Task task = tasks.remove();
            nowMs = task.atMs();
            task.action().run();
        }
        nowMs = endMs;
    }
}
