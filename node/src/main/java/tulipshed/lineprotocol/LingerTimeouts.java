package tulipshed.lineprotocol;

import java.util.LinkedHashSet;
import java.util.Set;
import tulipshed.proxy.EventLoop;
import tulipshed.time.Clock;

/**
 * Timeouts of equal length for connections that are closing. A cancelled timeout is released at once: a task of the event
 * loop would keep the closed connection in memory until the timeout expires, and clients that reconnect at full speed
 * close any number of connections in that time. At most one task is scheduled. Confined to the event-loop thread.
 */
final class LingerTimeouts {
    private final EventLoop loop;
    private final Clock clock;
    private final double timeoutMs;

    /** The timeouts that have neither expired nor been cancelled, oldest first. */
    private final Set<Timeout> pending = new LinkedHashSet<>();

    private boolean isWakeupScheduled;

    /** A timeout that was started and can be cancelled. */
    final class Timeout {
        private final double expiresMs;
        private final Runnable task;

        private Timeout(double expiresMs, Runnable task) {
            this.expiresMs = expiresMs;
            this.task = task;
        }

        /** Releases the task; no effect if the timeout has expired or has been cancelled. */
        void cancel() {
            pending.remove(this);
        }
    }

    /** Creates an empty set of timeouts of {@code timeoutMs} milliseconds. */
    LingerTimeouts(EventLoop loop, Clock clock, double timeoutMs) {
        this.loop = loop;
        this.clock = clock;
        this.timeoutMs = timeoutMs;
    }

    /** Runs the task when the timeout expires, unless it is cancelled before. */
    Timeout start(Runnable task) {
        Timeout timeout = new Timeout(clock.nowMs() + timeoutMs, task);
        pending.add(timeout);
        scheduleWakeup();
        return timeout;
    }

    private void scheduleWakeup() {
        if (!isWakeupScheduled && !pending.isEmpty()) {
            isWakeupScheduled = true;
            double delayMs = oldest().expiresMs - clock.nowMs();
            loop.schedule(Math.max(0, delayMs), this::runExpired);
        }
    }

    private void runExpired() {
        isWakeupScheduled = false;
        try {
            while (!pending.isEmpty() && oldest().expiresMs <= clock.nowMs()) {
                Timeout expired = oldest();
                pending.remove(expired);
                expired.task.run();
            }
        } finally {
            scheduleWakeup();
        }
    }

    private Timeout oldest() {
        return pending.iterator().next();
    }

    /** The number of timeouts that have neither expired nor been cancelled. */
    int size() {
        return pending.size();
    }
}
