package tulipshed.discovery;

import tulipshed.proxy.EventLoop;

/**
 * A call that starts after a delay, unless it is cancelled or another one is scheduled before. Confined to the
 * event-loop thread.
 */
final class DelayedCall {
    private final EventLoop loop;

    /** Number of schedules and cancellations so far; a call runs only if there was none after it was scheduled. */
    private long generation;

    DelayedCall(EventLoop loop) {
        this.loop = loop;
    }

    /** Schedules a call in place of any that was scheduled before. */
    void schedule(double delayMs, Runnable call) {
        long scheduledGeneration = ++generation;
        loop.schedule(delayMs, () -> {
            if (scheduledGeneration == generation) {
                call.run();
            }
        });
    }

    /** Cancels the scheduled call, if any. */
    void cancel() {
        generation++;
    }
}
