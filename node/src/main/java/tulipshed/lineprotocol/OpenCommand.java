package tulipshed.lineprotocol;

import java.nio.charset.StandardCharsets;
import tulipshed.proxy.RequestParameters;
import tulipshed.routing.AdditionalAttributes;

/**
 * A client's request for a connection, {@code OPEN ID KEY name=value,...} on the wire. Keeps the line as it came, so that
 * it can be forwarded unchanged but for its timeout.
 *
 * @param line the complete line with its end, in ISO 8859-1
 * @param id the ID that the client gave, unique among the open requests of the node
 * @param timeoutStart index in the line of the first character of the timeout
 * @param timeoutEnd index after the last character of the timeout
 * @param attributes what the client requests
 * @param adoptedFrom ID of the endpoint to which the connection was established before; null for a new connection
 * @param declaredAttributes the attributes that the operators have declared
 */
record OpenCommand(
        String line,
        String id,
        int timeoutStart,
        int timeoutEnd,
        RequestParameters attributes,
        String adoptedFrom,
        AdditionalAttributes declaredAttributes) {

    /** A timeout of 0 would mean to the endpoint that the client has gone. */
    private static final long MIN_TIMEOUT_MS = 1;

    /** Whether the connection was established before this node took it. */
    boolean isAdopted() {
        return adoptedFrom != null;
    }

    /** The line as it is forwarded to an endpoint, with the time that the node will wait, in whole milliseconds. */
    byte[] forwardedLine(double timeoutMs) {
        long wholeMs = Math.max(MIN_TIMEOUT_MS, (long) Math.floor(timeoutMs));
        String forwarded = line.substring(0, timeoutStart) + wholeMs + line.substring(timeoutEnd);
        return forwarded.getBytes(StandardCharsets.ISO_8859_1);
    }
}
