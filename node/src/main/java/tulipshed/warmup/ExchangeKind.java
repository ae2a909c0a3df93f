package tulipshed.warmup;

/** How one exchange goes; the key of its open command names it to the endpoint. */
enum ExchangeKind {
    /** Served; both sides send a line, then the client ends. */
    SERVED,
    /** Served after a ping. */
    PINGED,
    /** The first endpoint rejects it, so that it is attempted again. */
    REJECTED_ONCE,
    /** The endpoint fails it. */
    FAILED,
    /** Served; the endpoint ends first. */
    COMPLETED,
    /** Served; the endpoint sends the client away. */
    MIGRATED,
    /** The client leaves before its answer. */
    CANCELLED,
    /** The open command is malformed. */
    MALFORMED;

    private static final int SERVED_PER_OTHER = 2;

    /** The kind of the exchange of this number: two of three are served, and the others take turns. */
    static ExchangeKind of(int number) {
        int others = values().length - 1;
        return number % (SERVED_PER_OTHER + 1) == 0 ? values()[1 + number / (SERVED_PER_OTHER + 1) % others] : SERVED;
    }
}
