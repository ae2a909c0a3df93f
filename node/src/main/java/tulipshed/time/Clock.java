package tulipshed.time;

/** The one source of time: milliseconds since the Unix epoch, with fractions, never stepping back. */
public interface Clock {
    double nowMs();

    /** The decision module counts in whole microseconds; nothing else does. */
    static long toMicros(double ms) {
        return Math.round(ms * 1000);
    }

    /** Back from the module's microseconds. */
    static double toMillis(long us) {
        return us / 1000.0;
    }
}
