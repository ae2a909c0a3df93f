package tulipshed.lineprotocol;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One line received from an endpoint.
 *
 * @param kind the meaning of the first word
 * @param arguments the text after the first word and one space; empty if there is none
 */
record EndpointMessage(Kind kind, String arguments) {
    /** Message kinds by their words on the wire. */
    private static final Map<String, Kind> KINDS_BY_WORD = Map.of(
            "UP", Kind.ESTABLISHED,
            "BUSY", Kind.REJECTED,
            "ERR", Kind.FAILED,
            "LOAD", Kind.LOAD_REPORT,
            "BYE", Kind.COMPLETED,
            "MOVE", Kind.MIGRATING,
            "PONG", Kind.HEALTHY,
            "NO", Kind.HEALTH_CHECK_FORBIDDEN);

    /** The kind of a message. */
    enum Kind {
        /** Wire word {@code UP}: the endpoint serves the request from now on. */
        ESTABLISHED,
        /** Wire word {@code BUSY}: the endpoint is at capacity and rejects the request. */
        REJECTED,
        /** Wire word {@code ERR}: the request or the health check failed. */
        FAILED,
        /** Wire word {@code LOAD}: the load or the latency of an established connection. */
        LOAD_REPORT,
        /** Wire word {@code BYE}: the request is complete; the endpoint closes the connection next. */
        COMPLETED,
        /** Wire word {@code MOVE}: the client should reconnect; the endpoint closes the connection next. */
        MIGRATING,
        /** Wire word {@code PONG}: the response to a health check. */
        HEALTHY,
        /** Wire word {@code NO}: the endpoint does not allow health checks. */
        HEALTH_CHECK_FORBIDDEN,
        /** Any other word. */
        UNKNOWN
    }

    /** Parses one line, with or without its line terminator; accepts any input. */
    static EndpointMessage parse(byte[] line) {
        String text = new String(line, StandardCharsets.ISO_8859_1).strip();
        int space = text.indexOf(' ');
        String word = space < 0 ? text : text.substring(0, space);
        String arguments = space < 0 ? "" : text.substring(space + 1);
        return new EndpointMessage(KINDS_BY_WORD.getOrDefault(word, Kind.UNKNOWN), arguments);
    }
}
