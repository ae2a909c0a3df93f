package tulipshed.time;

/** The machine's clock, read once for the epoch and counted on from there, so that it cannot step back. */
public final class SystemClock implements Clock {
    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    @Override
    public double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }
}
