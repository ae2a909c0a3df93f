package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits a byte stream into lines that end with CRLF; buffers at most one partial line of bounded length. */
final class CrlfDecoder {
    /** The line terminator on the wire. */
    static final String LINE_END = "\r\n";

    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';

    /** The size of the buffer once bytes have arrived; a larger buffer is released after its line. */
    private static final int INITIAL_BUFFER_BYTES = 256;

    private static final byte[] NO_BYTES = {};

    private final int maxLineBytes;
    private byte[] partialLine = NO_BYTES;
    private int partialBytes;

    /** Creates a decoder of lines of at most {@code maxLineBytes} bytes, including the line terminator. */
    CrlfDecoder(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Returns the next complete line with its terminator, or null if the input contains no complete line. For lines that the
     * node interprets.
     *
     * @throws MalformedLineException if the line is longer than allowed, or contains a line feed that no carriage return
     *     precedes; the bytes read so far stay buffered as the partial line
     */
    byte[] next(ByteBuffer in) {
        return next(in, false);
    }

    /**
     * Returns the next complete line with its terminator, or null if the input contains no complete line. For lines that are
     * relayed as they are: a line feed that no carriage return precedes is part of the line.
     *
     * @throws MalformedLineException if the line is longer than allowed; the bytes read so far stay buffered as the partial
     *     line
     */
    byte[] nextRelayed(ByteBuffer in) {
        return next(in, true);
    }

    private byte[] next(ByteBuffer in, boolean permitsBareLineFeed) {
        while (in.hasRemaining()) {
            if (partialBytes == maxLineBytes) {
                throw new MalformedLineException("a line of more than " + maxLineBytes + " bytes");
            }
            ensureCapacity();
            byte next = in.get();
            partialLine[partialBytes++] = next;
            if (next == LINE_FEED) {
                if (followsCarriageReturn()) {
                    return takePartialLine();
                }
                if (!permitsBareLineFeed) {
                    throw new MalformedLineException("a line feed without a carriage return");
                }
            }
        }
        return null;
    }

    private void ensureCapacity() {
        if (partialBytes == partialLine.length) {
            int doubled = Math.max(INITIAL_BUFFER_BYTES, 2 * partialLine.length);
            partialLine = Arrays.copyOf(partialLine, Math.min(maxLineBytes, doubled));
        }
    }

    /** Whether a carriage return precedes the last byte of the partial line. */
    private boolean followsCarriageReturn() {
        return partialBytes > 1 && partialLine[partialBytes - 2] == CARRIAGE_RETURN;
    }

    /** Removes and returns the buffered partial line. */
    byte[] takePartialLine() {
        byte[] taken = Arrays.copyOf(partialLine, partialBytes);
        partialBytes = 0;
        if (partialLine.length > INITIAL_BUFFER_BYTES) {
            partialLine = NO_BYTES;
        }
        return taken;
    }

    /** The length of the buffered partial line in bytes. */
    int partialBytes() {
        return partialBytes;
    }
}
