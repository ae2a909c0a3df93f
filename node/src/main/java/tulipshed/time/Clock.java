package tulipshed.time;

/**
 * A source of monotonic time, for measuring durations: fractional milliseconds since an origin that has no meaning outside
 * this clock. For the time of day see {@link WallClock}. The decision module and its settings use integral microseconds, the
 * settings file and the messages of the simulator use seconds; the static methods convert between these units.
 */
public interface Clock {
    /** The number of microseconds per second. */
    double MICROS_PER_SECOND = 1e6;

    /** Returns the present time in milliseconds; never less than in an earlier call. */
    double nowMs();

    /** Converts milliseconds to microseconds, rounded. */
    static long toMicros(double ms) {
        return Math.round(ms * 1000);
    }

    /** Converts microseconds to milliseconds. */
    static double toMillis(long us) {
        return us / 1000.0;
    }

    /** Converts seconds to microseconds, rounded. */
    static long secondsToMicros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }

    /** Converts microseconds to seconds. */
    static double microsToSeconds(long us) {
        return us / MICROS_PER_SECOND;
    }
}
