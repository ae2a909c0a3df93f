package tulipshed.time;

/**
 * A source of wall time, for times that are displayed, logged or exchanged with other machines. It may step forwards or
 * backwards; durations are measured with {@link Clock}.
 */
public interface WallClock {
    /** Returns the present time. */
    WallTime now();
}
