package tulipshed.management;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * An HTTP/1.1 response, after which the server closes the connection.
 *
 * @param extraHeaders additional header lines, each terminated by CR LF
 */
record HttpResponse(int status, String reason, String contentType, String extraHeaders, byte[] body) {

    /** A response with one line of text. */
    static HttpResponse text(int status, String reason, String line) {
        return text(status, reason, "", line);
    }

    /** A response with status 200 and a JSON body. */
    static HttpResponse json(byte[] body) {
        return new HttpResponse(200, "OK", "application/json", "", body);
    }

    /** The response to every method other than GET. */
    static HttpResponse methodNotAllowed() {
        return text(405, "Method Not Allowed", "Allow: GET\r\n", "only GET");
    }

    private static HttpResponse text(int status, String reason, String extraHeaders, String line) {
        byte[] body = (line + "\n").getBytes(StandardCharsets.US_ASCII);
        return new HttpResponse(status, reason, "text/plain", extraHeaders, body);
    }

    /** The response as encoded for the wire. */
    byte[] bytes() {
        byte[] head = head().getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(head.length + body.length)
                .put(head)
                .put(body)
                .array();
    }

    private String head() {
        return "HTTP/1.1 " + status + " " + reason + "\r\n"
                + "Content-Type: " + contentType + "\r\n"
                + "Content-Length: " + body.length + "\r\n"
                + extraHeaders
                + "Connection: close\r\n\r\n";
    }
}
