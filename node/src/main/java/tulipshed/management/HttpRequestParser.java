package tulipshed.management;

import java.nio.ByteBuffer;

/** Reads the head of one call as it comes in, and keeps no more of it than its method, its path and one line. */
final class HttpRequestParser {
    private static final String NAME = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private final int longestHead;
    private final StringBuilder line = new StringBuilder();
    private int bytes;
    private String method;
    private String path;

    HttpRequestParser(int longestHead) {
        this.longestHead = longestHead;
    }

    /** Takes what belongs to the head; true once it is whole. */
    boolean take(ByteBuffer in) {
        while (in.hasRemaining()) {
            if (++bytes > longestHead) {
                throw new MalformedRequestException("a head of more than " + longestHead + " bytes");
            }
            char c = (char) (in.get() & 0xFF);
            if (c != '\n') {
                line.append(c);
            } else if (whole()) {
                return true;
            }
        }
        return false;
    }

    String method() {
        return method;
    }

    /** Without what may follow a question mark. */
    String path() {
        return path;
    }

    /** A line has ended; true where it was the empty one after the head. */
    private boolean whole() {
        if (line.length() > 0 && line.charAt(line.length() - 1) == '\r') {
            line.setLength(line.length() - 1);
        }
        String text = line.toString();
        line.setLength(0);
        if (method == null) {
            if (!text.matches(NAME + " /[!-~]* HTTP/1\\.[01]")) {
                throw new MalformedRequestException("not a call of HTTP/1.1");
            }
            String[] words = text.split(" ");
            method = words[0];
            path = words[1].replaceFirst("\\?.*", "");
        } else if (text.isEmpty()) {
            return true;
        } else if (!text.matches(NAME + ":[ -~\t\u0080-\u00ff]*")) {
            throw new MalformedRequestException("a field without a name");
        }
        return false;
    }
}
