package tulipshed.time;

/**
 * A source of wall time, for what is shown, logged, or exchanged with other machines. It may step either way; spans are
 * measured by {@link Clock}.
 */
public interface WallClock {
    /** The present time. */
    WallTime now();
}
