package tulipshed.discovery;

import tulipshed.proxy.EventLoop;

/** A call that starts after a delay, unless another one starts or is put off before. Confined to the event-loop thread. */
final class DelayedCall {
    private final EventLoop loop;

    /** Counts calls that started or were put off, of which only the last one counts. */
    private long latest;

    DelayedCall(EventLoop loop) {
        this.loop = loop;
    }

    /** Puts a call off, in place of any that was put off before. */
    void schedule(double delayMs, Runnable call) {
        long scheduled = ++latest;
        loop.schedule(delayMs, () -> {
            if (scheduled == latest) {
                call.run();
            }
        });
    }

    /** Gives up the call that was put off. */
    void cancel() {
        latest++;
    }
}
