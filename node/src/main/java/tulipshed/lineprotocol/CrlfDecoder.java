package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits a byte stream into lines; buffers at most one partial line of bounded length. */
final class CrlfDecoder {
    /** The line terminator on the wire. */
    static final String LINE_END = "\r\n";

    private final byte[] partialLine;
    private int partialBytes;

    /** Creates a decoder of lines of at most {@code maxLineBytes} bytes, including the line terminator. */
    CrlfDecoder(int maxLineBytes) {
        partialLine = new byte[maxLineBytes];
    }

    /**
     * Returns the next complete line with its terminator, or null if the input contains no complete line.
     *
     * @throws MalformedLineException if the line is longer than allowed; the bytes read so far stay buffered as the partial
     *     line
     */
    byte[] next(ByteBuffer in) {
        while (in.hasRemaining()) {
            if (partialBytes == partialLine.length) {
                throw new MalformedLineException("a line of more than " + partialLine.length + " bytes");
            }
            byte next = in.get();
            partialLine[partialBytes++] = next;
            // Only the parsers of client lines check for a carriage return; EndpointMessage.parse accepts a bare line
            // feed.
            if (next == '\n') {
                return takePartialLine();
            }
        }
        return null;
    }

    /** Removes and returns the buffered partial line. */
    byte[] takePartialLine() {
        byte[] taken = Arrays.copyOf(partialLine, partialBytes);
        partialBytes = 0;
        return taken;
    }

    /** The length of the buffered partial line in bytes. */
    int partialBytes() {
        return partialBytes;
    }
}
