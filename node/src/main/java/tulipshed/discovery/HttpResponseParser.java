package tulipshed.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Incremental parser of one HTTP/1.1 response, with limits on the size of the head and the body. Confined to one
 * thread.
 */
final class HttpResponseParser {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
    private static final int STATUS_START = "HTTP/1.1 ".length();
    private static final int STATUS_END = STATUS_START + 3;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** At most nine digits, so that a length fits into a long in either radix. */
    private static final Pattern LENGTH = Pattern.compile("[0-9a-fA-F]{1,9}");

    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    private static final int UNKNOWN_LENGTH = -1;

    private final int maxHeadBytes;
    private final int maxBodyBytes;
    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private State state = State.HEAD;

    /** Bytes of lines parsed so far in the head or since the last chunk. */
    private int lineBytes;

    /** Status code; 0 before the status line. */
    private int status;

    /** Remaining bytes of the body or of the chunk; {@link #UNKNOWN_LENGTH} if the head gives no length. */
    private long remainingBytes = UNKNOWN_LENGTH;

    private boolean chunked;
    private boolean closesConnection;

    /** The element of the response that is parsed next. */
    private enum State {
        HEAD,
        SIZED_BODY,
        BODY_UNTIL_END_OF_INPUT,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        COMPLETE
    }

    /** Creates a parser of one response; a larger head or body is malformed. */
    HttpResponseParser(int maxHeadBytes, int maxBodyBytes) {
        this.maxHeadBytes = maxHeadBytes;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Consumes input up to the end of the response.
     *
     * @return whether the response is complete
     * @throws MalformedResponseException if this is not a response within the limits
     */
    boolean parse(ByteBuffer input) {
        while (state != State.COMPLETE && input.hasRemaining()) {
            if (state == State.SIZED_BODY || state == State.CHUNK || state == State.BODY_UNTIL_END_OF_INPUT) {
                copyBody(input);
            } else {
                parseLineCharacter((char) (input.get() & 0xFF));
            }
        }
        return state == State.COMPLETE;
    }

    /**
     * Handles the end of the connection.
     *
     * @return whether the response is complete
     */
    boolean endOfInput() {
        if (state == State.BODY_UNTIL_END_OF_INPUT) {
            state = State.COMPLETE;
        }
        return state == State.COMPLETE;
    }

    /** Status code; 0 before the status line is parsed. */
    int status() {
        return status;
    }

    /** Body received so far. */
    byte[] body() {
        return body.toByteArray();
    }

    /** Whether the connection cannot be used for another call. */
    boolean closesConnection() {
        return closesConnection;
    }

    private void copyBody(ByteBuffer input) {
        int count = state == State.BODY_UNTIL_END_OF_INPUT
                ? input.remaining()
                : (int) Math.min(input.remaining(), remainingBytes);
        if (body.size() + count > maxBodyBytes) {
            throw new MalformedResponseException("response body exceeds " + maxBodyBytes + " bytes");
        }
        byte[] bytes = new byte[count];
        input.get(bytes);
        body.writeBytes(bytes);
        remainingBytes -= count;
        if (remainingBytes == 0 && state != State.BODY_UNTIL_END_OF_INPUT) {
            state = state == State.SIZED_BODY ? State.COMPLETE : State.CHUNK_END;
        }
    }

    private void parseLineCharacter(char next) {
        if (++lineBytes > maxHeadBytes) {
            throw new MalformedResponseException("response head exceeds " + maxHeadBytes + " bytes");
        }
        if (next != '\n') {
            line.append(next);
            return;
        }
        if (line.length() > 0 && line.charAt(line.length() - 1) == '\r') {
            line.setLength(line.length() - 1);
        }
        String text = line.toString();
        line.setLength(0);
        parseLine(text);
    }

    private void parseLine(String text) {
        switch (state) {
            case HEAD -> parseHeadLine(text);
            case CHUNK_SIZE -> parseChunkSize(text);
            case CHUNK_END -> {
                lineBytes = 0;
                state = State.CHUNK_SIZE;
            }
            default -> state = text.isEmpty() ? State.COMPLETE : state;
        }
    }

    private void parseHeadLine(String text) {
        if (status == 0) {
            parseStatusLine(text);
        } else if (!text.isEmpty()) {
            parseField(text);
        } else if (status < FIRST_FINAL_STATUS) {
            // An interim response; the final one follows.
            status = 0;
        } else {
            startBody();
        }
    }

    private void parseStatusLine(String text) {
        if (!STATUS_LINE.matcher(text).matches()) {
            throw new MalformedResponseException("not an HTTP/1.1 response");
        }
        status = Integer.parseInt(text.substring(STATUS_START, STATUS_END));
        closesConnection = text.startsWith("HTTP/1.0");
    }

    private void parseField(String text) {
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new MalformedResponseException("header field without a name");
        }
        String value = text.substring(colon + 1).strip().toLowerCase(Locale.ROOT);
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> remainingBytes = parseLength(value, DECIMAL);
            case "transfer-encoding" -> chunked = value.endsWith("chunked");
            case "connection" -> closesConnection |= value.contains("close");
            default -> {}
        }
    }

    private void startBody() {
        if (chunked) {
            state = State.CHUNK_SIZE;
        } else if (remainingBytes == 0 || status == NO_CONTENT || status == NOT_MODIFIED) {
            state = State.COMPLETE;
        } else if (remainingBytes > 0) {
            state = State.SIZED_BODY;
        } else {
            state = State.BODY_UNTIL_END_OF_INPUT;
            closesConnection = true;
        }
    }

    private void parseChunkSize(String text) {
        int semicolon = text.indexOf(';');
        String size = semicolon < 0 ? text : text.substring(0, semicolon);
        remainingBytes = parseLength(size.strip(), HEXADECIMAL);
        state = remainingBytes == 0 ? State.TRAILER : State.CHUNK;
    }

    private static long parseLength(String text, int radix) {
        if (!LENGTH.matcher(text).matches()) {
            throw new MalformedResponseException("invalid length: " + text);
        }
        try {
            return Long.parseLong(text, radix);
        } catch (NumberFormatException e) {
            throw new MalformedResponseException("invalid length: " + text);
        }
    }
}
