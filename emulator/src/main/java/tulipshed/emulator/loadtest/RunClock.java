package tulipshed.emulator.loadtest;

/** The clock of a run: milliseconds since its start, by the machine's monotonic clock. Reading it is thread-safe. */
final class RunClock {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private volatile long startedNs;
    private double latestMs;

    /** Starts the clock. */
    void start() {
        startedNs = System.nanoTime();
    }

    /** Milliseconds since the start, 0 before it. */
    double elapsedMs() {
        return startedNs == 0 ? 0 : (System.nanoTime() - startedNs) / NANOS_PER_MILLI;
    }

    /** Seconds since the start. */
    double elapsedSeconds() {
        return (System.nanoTime() - startedNs) / NANOS_PER_SECOND;
    }

    /** The moment of the run, never before one that was given to {@link #advanceTo}. For the run's thread. */
    double nowMs() {
        return Math.max(latestMs, elapsedMs());
    }

    /** Notes that the run has come to this moment. */
    void advanceTo(double nowMs) {
        latestMs = nowMs;
    }

    /** The moment of the run at a reading of {@link System#nanoTime}. */
    double toRunMs(long nanoTime) {
        return (nanoTime - startedNs) / NANOS_PER_MILLI;
    }
}
