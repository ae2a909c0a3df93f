package tulipshed.quic;

/** The counters of one QUIC frontend since its start. Confined to the event-loop thread. */
final class QuicMetrics {
    private final long[] counts = new long[QuicCounter.values().length];

    /** Adds one to a counter. */
    void count(QuicCounter counter) {
        counts[counter.ordinal()]++;
    }

    /** The value of a counter. */
    long get(QuicCounter counter) {
        return counts[counter.ordinal()];
    }
}
