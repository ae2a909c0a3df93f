package tulipshed.lineprotocol;

import java.nio.charset.StandardCharsets;
import tulipshed.proxy.RequestParameters;
import tulipshed.routing.AdditionalAttributes;

/**
 * A client's request for a connection, {@code OPEN ID KEY name=value,...} on the wire. Keeps the received line, so that it
 * can be forwarded unchanged except for its timeout.
 *
 * @param line the complete line with its terminator, decoded as ISO 8859-1
 * @param id the ID chosen by the client, unique among the open requests of the node
 * @param timeoutStart index of the first character of the timeout in the line
 * @param timeoutEnd index after the last character of the timeout
 * @param parameters the parameters of the request
 * @param adoptedEndpointId ID of the endpoint to which an adopted connection was established; null for a new connection
 * @param declaredAttributes the additional attributes that the operators' file declares
 */
record OpenCommand(
        String line,
        String id,
        int timeoutStart,
        int timeoutEnd,
        RequestParameters parameters,
        String adoptedEndpointId,
        AdditionalAttributes declaredAttributes) {

    /** An endpoint takes a timeout of 0 to mean that the client has disconnected. */
    private static final long MIN_TIMEOUT_MS = 1;

    /** Whether this node adopts a connection that was established before. */
    boolean isAdopted() {
        return adoptedEndpointId != null;
    }

    /** The line forwarded to an endpoint, with {@code timeoutMs} rounded down to whole milliseconds, 1 at least. */
    byte[] forwardedLine(double timeoutMs) {
        long wholeMs = Math.max(MIN_TIMEOUT_MS, (long) Math.floor(timeoutMs));
        String forwarded = line.substring(0, timeoutStart) + wholeMs + line.substring(timeoutEnd);
        return forwarded.getBytes(StandardCharsets.ISO_8859_1);
    }
}
