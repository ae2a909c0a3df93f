package tulipshed.time;

/** A clock that changes only when it is advanced; for tests and for the emulator. Not safe for use by several threads. */
public final class ManualClock implements Clock {
    private double nowMs;

    /** Creates a clock that shows this time, in milliseconds. */
    public ManualClock(double nowMs) {
        this.nowMs = nowMs;
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    /** Advances the time by this many milliseconds; a negative value counts as 0. */
    public void advance(double ms) {
        nowMs += Math.max(0, ms);
    }
}
