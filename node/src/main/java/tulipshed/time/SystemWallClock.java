package tulipshed.time;

/** The wall clock of the operating system, read at each call. Immutable; safe for use by any thread. */
public final class SystemWallClock implements WallClock {
    @Override
    public WallTime now() {
        return new WallTime(System.currentTimeMillis());
    }
}
