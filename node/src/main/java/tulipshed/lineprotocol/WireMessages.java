package tulipshed.lineprotocol;

import java.nio.charset.StandardCharsets;

/** The fixed messages of the line protocol that this node recognizes or sends, encoded for the wire. */
final class WireMessages {
    /** Wire word {@code PING}: a client's query whether the node accepts requests. */
    static final byte[] PING = encode("PING");

    /** Wire word {@code PONG}: the node accepts requests. */
    static final byte[] PONG = encode("PONG");

    /** Wire word {@code ERR}: final response to a request that failed. */
    static final byte[] FAILED = encode("ERR");

    /** Wire word {@code MOVE}: the client of an established connection should reconnect. */
    static final byte[] MIGRATE = encode("MOVE");

    /** Wire word {@code STATS}: the request for an endpoint's load report. */
    static final byte[] HEALTH_CHECK = encode("STATS");

    /** Wire word {@code BUSY}: the request was rejected. */
    private static final String REJECTED_WORD = "BUSY";

    private WireMessages() {}

    /**
     * The final response to a rejected request, {@code BUSY} on the wire.
     *
     * @param retryAfterMs the delay before the client may retry, rounded up to whole milliseconds; omitted if not above 0
     */
    static byte[] rejected(double retryAfterMs) {
        long wholeMs = (long) Math.ceil(retryAfterMs);
        return encode(wholeMs > 0 ? REJECTED_WORD + " " + wholeMs : REJECTED_WORD);
    }

    private static byte[] encode(String line) {
        return (line + CrlfDecoder.LINE_END).getBytes(StandardCharsets.US_ASCII);
    }
}
