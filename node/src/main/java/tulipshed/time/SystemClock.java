package tulipshed.time;

/**
 * The system's monotonic timer. Its origin has no meaning outside this clock, and it never reads the wall clock, so no step
 * of that reaches it. Immutable; safe for use by any thread.
 */
public final class SystemClock implements Clock {
    /**
     * What the clock shows when it is created, in milliseconds: some eleven days, so that times shortly before the start
     * are above 0, which the decision module takes for long ago.
     */
    static final double ORIGIN_MS = 1e9;

    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final long startNanos = System.nanoTime();

    @Override
    public double nowMs() {
        return ORIGIN_MS + (System.nanoTime() - startNanos) / NANOS_PER_MILLISECOND;
    }
}
