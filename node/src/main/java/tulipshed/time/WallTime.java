package tulipshed.time;

/**
 * A point in time read from the wall clock of a machine. The wall clocks of two machines differ, and each may step forwards
 * or backwards at any moment. The difference of two wall times therefore measures a duration only if both were read from the
 * same clock and it did not step in between. For this reason decisions of a node use {@link Clock}, whose times have another
 * type.
 *
 * @param epochMs milliseconds since the Unix epoch
 */
public record WallTime(long epochMs) {
    /** Returns the milliseconds from the other time to this one; negative if this one is earlier. */
    public double millisAfter(WallTime other) {
        // Subtracting two arbitrary times as longs may overflow.
        return (double) epochMs - (double) other.epochMs;
    }

    // Not the generated methods of the record: the virtual machine links those at their first call, which delays each
    // start.

    @Override
    public boolean equals(Object other) {
        return other instanceof WallTime time && epochMs == time.epochMs;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(epochMs);
    }
}
