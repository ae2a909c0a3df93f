package tulipshed.time;

/** The wall clock of the operating system, read at each call. Immutable and thread-safe. */
public final class SystemWallClock implements WallClock {
    @Override
    public WallTime now() {
        return new WallTime(System.currentTimeMillis());
    }
}
