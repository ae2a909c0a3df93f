package tulipshed.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Locale;

/** Reads one answer of HTTP/1.1 as it comes in, with bounds on its head and body. */
final class HttpResponseParser {
    private enum Part {
        HEAD,
        SIZED,
        TO_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        DONE
    }

    private final int longestHead;
    private final int longestBody;
    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Part part = Part.HEAD;
    private int headBytes;
    private int status;
    private long left = -1;
    private boolean chunked;
    private boolean closes;

    /** Input that is not an answer of HTTP/1.1 within the bounds. */
    static final class MalformedResponseException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MalformedResponseException(String message) {
            super(message);
        }
    }

    HttpResponseParser(int longestHead, int longestBody) {
        this.longestHead = longestHead;
        this.longestBody = longestBody;
    }

    /** Takes what belongs to this answer; true once it is whole. */
    boolean take(ByteBuffer in) {
        while (part != Part.DONE && in.hasRemaining()) {
            if (part == Part.SIZED || part == Part.CHUNK || part == Part.TO_END) {
                copy(in);
            } else {
                character((char) (in.get() & 0xFF));
            }
        }
        return part == Part.DONE;
    }

    /** The connection ended; true where that is how the answer ends. */
    boolean end() {
        if (part == Part.TO_END) {
            part = Part.DONE;
        }
        return part == Part.DONE;
    }

    int status() {
        return status;
    }

    byte[] body() {
        return body.toByteArray();
    }

    /** Whether the connection cannot be used again. */
    boolean closes() {
        return closes;
    }

    private void copy(ByteBuffer in) {
        int n = part == Part.TO_END ? in.remaining() : (int) Math.min(in.remaining(), left);
        if (body.size() + n > longestBody) {
            throw new MalformedResponseException("a body of more than " + longestBody + " bytes");
        }
        byte[] bytes = new byte[n];
        in.get(bytes);
        body.writeBytes(bytes);
        left -= n;
        if (left == 0 && part != Part.TO_END) {
            part = part == Part.SIZED ? Part.DONE : Part.CHUNK_END;
        }
    }

    private void character(char c) {
        if (++headBytes > longestHead) {
            throw new MalformedResponseException("a head of more than " + longestHead + " bytes");
        }
        if (c != '\n') {
            line.append(c);
            return;
        }
        if (line.length() > 0 && line.charAt(line.length() - 1) == '\r') {
            line.setLength(line.length() - 1);
        }
        String text = line.toString();
        line.setLength(0);
        switch (part) {
            case HEAD -> head(text);
            case CHUNK_SIZE -> chunkSize(text);
            case CHUNK_END -> {
                headBytes = 0;
                part = Part.CHUNK_SIZE;
            }
            default -> part = text.isEmpty() ? Part.DONE : part;
        }
    }

    private void head(String text) {
        if (status == 0) {
            if (!text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
                throw new MalformedResponseException("not an answer of HTTP/1.1");
            }
            status = Integer.parseInt(text.substring(9, 12));
            closes = text.startsWith("HTTP/1.0");
        } else if (!text.isEmpty()) {
            field(text);
        } else if (status < 200) {
            status = 0;
        } else if (chunked) {
            part = Part.CHUNK_SIZE;
        } else if (left == 0 || status == 204 || status == 304) {
            part = Part.DONE;
        } else {
            part = left > 0 ? Part.SIZED : Part.TO_END;
            closes |= part == Part.TO_END;
        }
    }

    private void field(String text) {
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new MalformedResponseException("a field without a name");
        }
        String value = text.substring(colon + 1).strip().toLowerCase(Locale.ROOT);
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> left = figure(value, 10);
            case "transfer-encoding" -> chunked = value.endsWith("chunked");
            case "connection" -> closes |= value.contains("close");
            default -> {}
        }
    }

    private void chunkSize(String text) {
        int semicolon = text.indexOf(';');
        left = figure((semicolon < 0 ? text : text.substring(0, semicolon)).strip(), 16);
        part = left == 0 ? Part.TRAILER : Part.CHUNK;
    }

    private long figure(String text, int radix) {
        if (!text.matches("[0-9a-fA-F]{1,9}")) {
            throw new MalformedResponseException("not a length: " + text);
        }
        try {
            return Long.parseLong(text, radix);
        } catch (NumberFormatException e) {
            throw new MalformedResponseException("not a length: " + text);
        }
    }
}
