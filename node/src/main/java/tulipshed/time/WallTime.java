package tulipshed.time;

/**
 * A point in time as a machine's wall clock shows it. Wall clocks of two machines differ, and any of them may step either
 * way at any moment, so the difference of two wall times is no measure of the time that passed unless one clock showed
 * both and did not step. What a node decides rests on {@link Clock}, which is a type of its own for that reason.
 *
 * @param epochMs milliseconds since the Unix epoch
 */
public record WallTime(long epochMs) {
    /** How much later this is than another time, in milliseconds; negative where it is earlier. */
    public double millisAfter(WallTime other) {
        // As longs, the difference of two arbitrary times may overflow.
        return (double) epochMs - (double) other.epochMs;
    }

    // Written out, as the virtual machine links a record's own methods at their first call, which is in each start.

    @Override
    public boolean equals(Object other) {
        return other instanceof WallTime time && epochMs == time.epochMs;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(epochMs);
    }
}
