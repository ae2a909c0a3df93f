package tulipshed.quic;

/** What the front has done and dropped since its start. */
final class QuicMetrics {
    /** What is counted. */
    enum Figure {
        DATAGRAMS,
        OPENED_V1,
        OPENED_V2,
        RETRY_SENT,
        RETRY_ACCEPTED,
        REBINDS,
        IDS_JOINED,
        PATHS_OPENED,
        CARRIED_ON,
        RESETS_SENT,
        RESETS_PASSED,
        DROPPED_MALFORMED,
        DROPPED_SMALL,
        DROPPED_UNKNOWN_ID,
        DROPPED_STRAY,
        DROPPED_AMPLIFICATION,
        DROPPED_REPLAYED,
        DROPPED_PRESSED,
        GAVE_WAY,
        HELLO_NEVER_WHOLE,
        NEGOTIATED;

        /** As the second address tells it. */
        String written() {
            return "quic_" + name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    private final long[] counts = new long[Figure.values().length];

    void count(Figure f) {
        counts[f.ordinal()]++;
    }

    long get(Figure f) {
        return counts[f.ordinal()];
    }
}
