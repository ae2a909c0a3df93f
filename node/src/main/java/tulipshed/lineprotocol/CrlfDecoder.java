package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits a byte stream into lines, keeping no more than one partial line of bounded length. */
final class CrlfDecoder {
    /** The end of each line on the wire. */
    static final String LINE_END = "\r\n";

    private final byte[] partialLine;
    private int partialBytes;

    /** A decoder of lines of at most {@code maxLineBytes}, with their end. */
    CrlfDecoder(int maxLineBytes) {
        partialLine = new byte[maxLineBytes];
    }

    /**
     * The next complete line with its end, or null if the input holds no more of one.
     *
     * @throws MalformedLineException if the line is longer than allowed; it stays as the partial line
     */
    byte[] next(ByteBuffer in) {
        while (in.hasRemaining()) {
            if (partialBytes == partialLine.length) {
                throw new MalformedLineException("a line of more than " + partialLine.length + " bytes");
            }
            byte next = in.get();
            partialLine[partialBytes++] = next;
            // The parsers check that a carriage return precedes the line feed.
            if (next == '\n') {
                return takePartialLine();
            }
        }
        return null;
    }

    /** Removes and returns what is kept of a partial line. */
    byte[] takePartialLine() {
        byte[] taken = Arrays.copyOf(partialLine, partialBytes);
        partialBytes = 0;
        return taken;
    }

    /** Bytes kept of a partial line. */
    int partialBytes() {
        return partialBytes;
    }
}
