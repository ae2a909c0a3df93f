package tulipshed.lineprotocol;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One line that an endpoint sent.
 *
 * @param kind what its first word means
 * @param arguments what follows the first word and one space; empty if nothing does
 */
record EndpointMessage(Kind kind, String arguments) {
    /** The words of the wire. */
    private static final Map<String, Kind> KINDS = Map.of(
            "UP", Kind.ESTABLISHED,
            "BUSY", Kind.REJECTED,
            "ERR", Kind.FAILED,
            "LOAD", Kind.LOAD_REPORT,
            "BYE", Kind.COMPLETED,
            "MOVE", Kind.MIGRATING,
            "PONG", Kind.HEALTHY,
            "NO", Kind.HEALTH_CHECK_FORBIDDEN);

    /** What a message means. */
    enum Kind {
        /** Wire word {@code UP}: the endpoint serves the request from now on. */
        ESTABLISHED,
        /** Wire word {@code BUSY}: the endpoint is full. */
        REJECTED,
        /** Wire word {@code ERR}: the request or the health check failed. */
        FAILED,
        /** Wire word {@code LOAD}: the load or the latency of an established connection. */
        LOAD_REPORT,
        /** Wire word {@code BYE}: the connection is complete; its end follows. */
        COMPLETED,
        /** Wire word {@code MOVE}: the client should connect again; the connection's end follows. */
        MIGRATING,
        /** Wire word {@code PONG}: the response to a health check. */
        HEALTHY,
        /** Wire word {@code NO}: the endpoint answers no health checks. */
        HEALTH_CHECK_FORBIDDEN,
        /** Any other word. */
        UNKNOWN
    }

    /** Parses one line, with or without its end; never fails. */
    static EndpointMessage parse(byte[] line) {
        String text = new String(line, StandardCharsets.ISO_8859_1).strip();
        int space = text.indexOf(' ');
        String word = space < 0 ? text : text.substring(0, space);
        String arguments = space < 0 ? "" : text.substring(space + 1);
        return new EndpointMessage(KINDS.getOrDefault(word, Kind.UNKNOWN), arguments);
    }
}
