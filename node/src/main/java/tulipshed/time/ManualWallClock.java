package tulipshed.time;

/** A wall clock that changes only when it is stepped; for tests. Not thread-safe. */
public final class ManualWallClock implements WallClock {
    private WallTime now;

    /** Creates a clock with this initial time. */
    public ManualWallClock(WallTime now) {
        this.now = now;
    }

    @Override
    public WallTime now() {
        return now;
    }

    /** Steps the clock by this many milliseconds, backwards if negative. */
    public void step(long ms) {
        now = new WallTime(now.epochMs() + ms);
    }
}
