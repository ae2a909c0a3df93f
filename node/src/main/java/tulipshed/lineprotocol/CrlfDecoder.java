package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts a stream into lines that end with CRLF, keeping no more than one line of bounded length. */
final class CrlfDecoder {
    private final byte[] partialBytes;
    private int length;

    CrlfDecoder(int longest) {
        partialBytes = new byte[longest];
    }

    /** The next whole line with its end, or null when the input holds no more of one. */
    byte[] next(ByteBuffer in) {
        while (in.hasRemaining()) {
            if (length == partialBytes.length) {
                throw new MalformedLineException("a line of more than " + partialBytes.length + " bytes");
            }
            byte b = in.get();
            partialBytes[length++] = b;
            if (b == '\n') {
                byte[] line = Arrays.copyOf(partialBytes, length);
                length = 0;
                return line;
            }
        }
        return null;
    }

    /** Takes out what is held of an unfinished line. */
    byte[] takePartialLine() {
        byte[] rest = Arrays.copyOf(partialBytes, length);
        length = 0;
        return rest;
    }

    /** Bytes held of an unfinished line. */
    int partialBytes() {
        return length;
    }
}
