package tulipshed.management;

import java.nio.ByteBuffer;
import java.util.regex.Pattern;

/**
 * Parses the head of one HTTP/1.1 request incrementally. Keeps only the method, the path and the current line.
 * Confined to the event-loop thread.
 */
final class HttpRequestParser {
    /** An HTTP token: the name of a method or of a header field. */
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

    private static final Pattern REQUEST_LINE = Pattern.compile(TOKEN + " /[!-~]* HTTP/1\\.[01]");
    private static final Pattern HEADER_FIELD = Pattern.compile(TOKEN + ":[ -~\t\u0080-\u00ff]*");

    private final int maxHeadBytes;
    private final StringBuilder line = new StringBuilder();
    private int headBytes;
    private String method;
    private String path;

    /** Creates a parser that accepts a head of at most {@code maxHeadBytes} bytes. */
    HttpRequestParser(int maxHeadBytes) {
        this.maxHeadBytes = maxHeadBytes;
    }

    /**
     * Consumes bytes up to the end of the head.
     *
     * @return whether the head is complete
     * @throws MalformedRequestException if the head is malformed or too long
     */
    boolean parse(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            if (++headBytes > maxHeadBytes) {
                throw new MalformedRequestException("a head of more than " + maxHeadBytes + " bytes");
            }
            char nextChar = (char) (bytes.get() & 0xFF);
            if (nextChar != '\n') {
                line.append(nextChar);
            } else if (processLine()) {
                return true;
            }
        }
        return false;
    }

    /** The method; null until the request line is complete. */
    String method() {
        return method;
    }

    /** The path without the query; null until the request line is complete. */
    String path() {
        return path;
    }

    /** Processes a complete line; returns whether it is the empty line that ends the head. */
    private boolean processLine() {
        if (line.length() > 0 && line.charAt(line.length() - 1) == '\r') {
            line.setLength(line.length() - 1);
        }
        String text = line.toString();
        line.setLength(0);
        if (method == null) {
            parseRequestLine(text);
            return false;
        }
        if (!text.isEmpty() && !HEADER_FIELD.matcher(text).matches()) {
            throw new MalformedRequestException("a field without a name");
        }
        return text.isEmpty();
    }

    private void parseRequestLine(String text) {
        if (!REQUEST_LINE.matcher(text).matches()) {
            throw new MalformedRequestException("not a call of HTTP/1.1");
        }
        String[] words = text.split(" ");
        method = words[0];
        path = words[1].replaceFirst("\\?.*", "");
    }
}
