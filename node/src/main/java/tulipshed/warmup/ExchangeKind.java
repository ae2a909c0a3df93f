package tulipshed.warmup;

/** The course of one exchange. The scripted endpoint reads it from the key of the open command. */
enum ExchangeKind {
    /** Served; both sides send a line, then the client ends the connection. */
    SERVED,
    /** Served after a ping. */
    PINGED,
    /** Rejected by the first endpoint, so that it is retried. */
    REJECTED_ONCE,
    /** Answered with an error by the endpoint. */
    FAILED,
    /** Served; the endpoint ends the connection first. */
    COMPLETED,
    /** Served; the endpoint migrates the client. */
    MIGRATED,
    /** Cancelled by the client before it is answered. */
    CANCELLED,
    /** The open command is malformed. */
    MALFORMED;

    private static final int SERVED_PER_OTHER_EXCHANGE = 2;

    /** Returns the kind of the exchange with this number: two of three are SERVED, the other kinds alternate. */
    static ExchangeKind of(int number) {
        int otherKinds = values().length - 1;
        return number % (SERVED_PER_OTHER_EXCHANGE + 1) == 0
                ? values()[1 + number / (SERVED_PER_OTHER_EXCHANGE + 1) % otherKinds]
                : SERVED;
    }
}
