package tulipshed.time;

/** A clock that changes only when it is advanced; for tests and the emulator. Not thread-safe. */
public final class ManualClock implements Clock {
    private double nowMs;

    /** Creates a clock with this initial time, in milliseconds. */
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
