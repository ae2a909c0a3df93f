package tulipshed.discovery;

import tulipshed.proxy.EventLoop;

/**
 * A call that starts after a delay, unless another call is started or scheduled before. Confined to the event-loop
 * thread.
 */
final class DelayedCall {
    private final EventLoop loop;

    /** Number of the last call that was started or scheduled; only this one may run. */
    private long lastCall;

    DelayedCall(EventLoop loop) {
        this.loop = loop;
    }

    /** Schedules a call in place of any that was scheduled before. */
    void schedule(double delayMs, Runnable call) {
        long callNumber = ++lastCall;
        loop.schedule(delayMs, () -> {
            if (callNumber == lastCall) {
                call.run();
            }
        });
    }

    /** Cancels the scheduled call, if any. */
    void cancel() {
        lastCall++;
    }
}
