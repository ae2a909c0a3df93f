package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts a stream into lines that end with CRLF, keeping no more than one line of bounded length. */
final class CrlfDecoder {
    private final byte[] held;
    private int length;

    CrlfDecoder(int longest) {
        held = new byte[longest];
    }

    /** The next whole line with its end, or null when the input holds no more of one. */
    byte[] next(ByteBuffer in) {
        while (in.hasRemaining()) {
            if (length == held.length) {
                throw new MalformedLineException("a line of more than " + held.length + " bytes");
            }
            byte b = in.get();
            held[length++] = b;
            if (b == '\n') {
                byte[] line = Arrays.copyOf(held, length);
                length = 0;
                return line;
            }
        }
        return null;
    }

    /** Takes out what is held of an unfinished line. */
    byte[] rest() {
        byte[] rest = Arrays.copyOf(held, length);
        length = 0;
        return rest;
    }

    /** Bytes held of an unfinished line. */
    int held() {
        return length;
    }
}
