package tulipshed.time;

/**
 * A source of monotonic time, for spans: milliseconds, with fractions, since an origin that has no meaning outside this
 * clock. It says nothing of the time of day, which is {@link WallClock}'s. The decision module counts in integral
 * microseconds, and settings and the simulator in seconds; the conversions are here.
 */
public interface Clock {
    /** How many microseconds a second has. */
    double MICROS_PER_SECOND = 1e6;

    /** The present time in milliseconds; never less than at an earlier call. */
    double nowMs();

    /** Milliseconds as microseconds, rounded. */
    static long toMicros(double ms) {
        return Math.round(ms * 1000);
    }

    /** Microseconds as milliseconds. */
    static double toMillis(long us) {
        return us / 1000.0;
    }

    /** Seconds as microseconds, rounded. */
    static long secondsToMicros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }

    /** Microseconds as seconds. */
    static double microsToSeconds(long us) {
        return us / MICROS_PER_SECOND;
    }
}
