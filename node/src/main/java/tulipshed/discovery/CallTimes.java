package tulipshed.discovery;

import tulipshed.time.Clock;

/**
 * Start time of the last call to discovery, and time at which the last list arrived or the initial list was requested.
 * Confined to the event-loop thread.
 */
final class CallTimes {
    private final Clock clock;
    private double callStartedMs;
    private double requestedWaitMs;

    /** Time at which the last list arrived or the initial list was requested; NaN before that. */
    private double lastListMs = Double.NaN;

    CallTimes(Clock clock) {
        this.clock = clock;
    }

    /** Records the start of a call that asks discovery to wait up to {@code waitMs} milliseconds for changes. */
    void callStarted(double waitMs) {
        callStartedMs = clock.nowMs();
        requestedWaitMs = waitMs;
    }

    /** Requested wait of the last call, in milliseconds. */
    double requestedWaitMs() {
        return requestedWaitMs;
    }

    /** Restarts the time since the last list; called when a list arrives or the initial list is requested. */
    void restartListTimer() {
        lastListMs = clock.nowMs();
    }

    /** Duration of the last call so far, in milliseconds. */
    double callDurationMs() {
        return clock.nowMs() - callStartedMs;
    }

    /** Time since the last list arrived or the initial list was requested, in milliseconds; NaN before that. */
    double sinceLastListMs() {
        return clock.nowMs() - lastListMs;
    }

    /**
     * Remainder of {@code ms} milliseconds that began when the last list arrived or the initial list was requested: at
     * least 0, and {@code ms} before that.
     */
    double remainingMs(double ms) {
        return Double.isNaN(lastListMs) ? ms : Math.max(0, ms - sinceLastListMs());
    }
}
