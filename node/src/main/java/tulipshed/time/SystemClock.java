package tulipshed.time;

/**
 * The system's time. It is read once, and the monotonic timer is added to it from then on, so that this clock never steps
 * back. Immutable; safe for use by any thread.
 */
public final class SystemClock implements Clock {
    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    @Override
    public double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MILLISECOND;
    }
}
