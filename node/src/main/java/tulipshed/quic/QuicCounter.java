package tulipshed.quic;

/** What the frontend counts, and the name of each count in {@code /status/metrics}, which is external and does not change. */
enum QuicCounter {
    DATAGRAMS("quic_datagrams"),
    OPENED_V1("quic_opened_v1"),
    OPENED_V2("quic_opened_v2"),
    RETRY_SENT("quic_retry_sent"),
    RETRY_ACCEPTED("quic_retry_accepted"),
    REBINDS("quic_rebinds"),
    IDS_JOINED("quic_ids_joined"),
    PATHS_OPENED("quic_paths_opened"),
    RESUMED("quic_carried_on"),
    RESETS_SENT("quic_resets_sent"),
    RESETS_FORWARDED("quic_resets_passed"),
    DROPPED_MALFORMED("quic_dropped_malformed"),
    DROPPED_SMALL("quic_dropped_small"),
    DROPPED_UNKNOWN_ID("quic_dropped_unknown_id"),
    DROPPED_UNKNOWN_SOURCE("quic_dropped_stray"),
    DROPPED_AMPLIFICATION("quic_dropped_amplification"),
    DROPPED_REPLAYED("quic_dropped_replayed"),
    DROPPED_QUEUE_FULL("quic_dropped_pressed"),
    UNCONFIRMED_EVICTED("quic_gave_way"),
    CLIENT_HELLO_INCOMPLETE("quic_hello_never_whole"),
    NEGOTIATED("quic_negotiated");

    private final String metricName;

    QuicCounter(String metricName) {
        this.metricName = metricName;
    }

    /** The name in {@code /status/metrics}. */
    String metricName() {
        return metricName;
    }
}
