package tulipshed.discovery;

import tulipshed.time.Clock;

/** When the last call to discovery began, and when the last list arrived. Confined to the event-loop thread. */
final class CallTimes {
    private final Clock clock;
    private double startedMs;

    /** When the last list arrived, or the initial one was requested; NaN before that. */
    private double respondedMs = Double.NaN;

    CallTimes(Clock clock) {
        this.clock = clock;
    }

    /** A call starts. */
    void callStarts() {
        startedMs = clock.nowMs();
    }

    /** A list arrived, or the initial one is requested. */
    void listArrived() {
        respondedMs = clock.nowMs();
    }

    /** How long the last call has lasted, in milliseconds. */
    double lastedMs() {
        return clock.nowMs() - startedMs;
    }

    /** The time since the last list arrived, in milliseconds; NaN before the first. */
    double sinceListMs() {
        return clock.nowMs() - respondedMs;
    }

    /** How much of a time is left after the last list arrived, in milliseconds: 0 at least, all of it before the first. */
    double remainingMs(double ms) {
        return Double.isNaN(respondedMs) ? ms : Math.max(0, ms - sinceListMs());
    }
}
