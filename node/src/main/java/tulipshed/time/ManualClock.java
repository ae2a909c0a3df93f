package tulipshed.time;

/** A clock that stands still until it is set; for tests and for embedding. */
public final class ManualClock implements Clock {
    private double nowMs;

    public ManualClock(double nowMs) {
        this.nowMs = nowMs;
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    /** Moves on by that much; never back. */
    public void advance(double ms) {
        nowMs += Math.max(0, ms);
    }
}
