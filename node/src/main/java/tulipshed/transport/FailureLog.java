package tulipshed.transport;

import java.util.function.Consumer;
import tulipshed.proxy.EventLoop;

/**
 * Logs failures of one kind at a limited rate: one line at the first failure, then one line for all failures of each
 * interval. Intervals are timed by the event loop. Confined to the event-loop thread.
 */
final class FailureLog {
    private final EventLoop loop;
    private final double intervalMs;
    private final Consumer<String> log;
    private final EventSummary summary;
    private boolean isIntervalRunning;

    /**
     * Creates a log that passes lines beginning with {@code eventName} to {@code log}, at least {@code intervalMs}
     * apart.
     */
    FailureLog(EventLoop loop, double intervalMs, Consumer<String> log, String eventName) {
        this.loop = loop;
        this.intervalMs = intervalMs;
        this.log = log;
        summary = new EventSummary(eventName);
    }

    /** Counts one failure. */
    void record(Exception failure) {
        summary.add(String.valueOf(failure.getMessage()));
        if (!isIntervalRunning) {
            logSummary();
        }
    }

    private void logSummary() {
        log.accept(summary.takeLine());
        isIntervalRunning = true;
        loop.schedule(intervalMs, this::onIntervalOver);
    }

    private void onIntervalOver() {
        isIntervalRunning = false;
        if (!summary.isEmpty()) {
            logSummary();
        }
    }
}
