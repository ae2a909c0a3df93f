package tulipshed.time;

/**
 * The system's monotonic timer. Its origin has no meaning outside this clock. It never reads the wall clock and is therefore
 * unaffected by steps of the wall clock. Immutable and thread-safe.
 */
public final class SystemClock implements Clock {
    /**
     * The time of a new clock in milliseconds, about eleven days. It keeps times shortly before the start above 0, as the
     * decision module interprets a time of 0 as long ago.
     */
    static final double ORIGIN_MS = 1e9;

    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final long startNanos = System.nanoTime();

    @Override
    public double nowMs() {
        return ORIGIN_MS + (System.nanoTime() - startNanos) / NANOS_PER_MILLISECOND;
    }
}
