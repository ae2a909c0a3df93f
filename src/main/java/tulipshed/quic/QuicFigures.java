package tulipshed.quic;

import java.util.EnumMap;
import java.util.Map;

/** What the front has done and dropped since its start. */
final class QuicFigures {
    /** What is counted. */
    enum Figure {
        DATAGRAMS, OPENED_V1, OPENED_V2, RETRY_SENT, RETRY_ACCEPTED, REBINDS, IDS_JOINED, CARRIED_ON, RESETS_SENT,
        DROPPED_MALFORMED, DROPPED_SMALL, DROPPED_UNKNOWN_ID, HELLO_NEVER_WHOLE, NEGOTIATED;

        /** As the second address tells it. */
        String written() {
            return "quic_" + name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    private final Map<Figure, long[]> counts = new EnumMap<>(Figure.class);

    QuicFigures() {
        for (Figure f : Figure.values()) {
            counts.put(f, new long[1]);
        }
    }

    void count(Figure f) {
        counts.get(f)[0]++;
    }

    long get(Figure f) {
        return counts.get(f)[0];
    }
}
