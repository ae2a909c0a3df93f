package tulipshed.time;

/** A wall clock that changes only when it is stepped; for tests. Not safe for use by several threads. */
public final class ManualWallClock implements WallClock {
    private WallTime now;

    /** Creates a clock that shows this time. */
    public ManualWallClock(WallTime now) {
        this.now = now;
    }

    @Override
    public WallTime now() {
        return now;
    }

    /** Steps by this many milliseconds, back where the number is negative. */
    public void step(long ms) {
        now = new WallTime(now.epochMs() + ms);
    }
}
