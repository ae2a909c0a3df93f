package tulipshed.transport;

import java.util.function.Consumer;
import tulipshed.proxy.EventLoop;

/**
 * Logs failures of one kind at a limited rate: a line at the first, then one for all that came until the interval was over.
 * Confined to the event-loop thread.
 */
final class FailureLog {
    private final EventLoop loop;
    private final double intervalMs;
    private final Consumer<String> log;
    private final String eventName;
    private int count;
    private String lastReason = "";
    private boolean isIntervalRunning;

    /** Logs lines that begin with {@code eventName}, {@code intervalMs} apart or more. */
    FailureLog(EventLoop loop, double intervalMs, Consumer<String> log, String eventName) {
        this.loop = loop;
        this.intervalMs = intervalMs;
        this.log = log;
        this.eventName = eventName;
    }

    /** Counts one failure. */
    void record(Exception failure) {
        count++;
        lastReason = String.valueOf(failure.getMessage());
        if (!isIntervalRunning) {
            logCounted();
        }
    }

    private void logCounted() {
        log.accept(eventName + ": " + count + ", last: " + lastReason);
        count = 0;
        isIntervalRunning = true;
        loop.schedule(intervalMs, this::onIntervalOver);
    }

    private void onIntervalOver() {
        isIntervalRunning = false;
        if (count > 0) {
            logCounted();
        }
    }
}
