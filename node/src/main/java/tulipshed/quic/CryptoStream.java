package tulipshed.quic;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.BitSet;

/**
 * What CRYPTO frames of Initial packets carry, put together in whatever order and however often it comes (RFC 9000
 * section 19.6). It holds no more than it is allowed, and bytes that come twice must come the same.
 */
final class CryptoStream {
    private final int most;
    private byte[] bytes = new byte[0];
    private final BitSet have = new BitSet();
    private int prefix;

    /** One that takes that many bytes at most. */
    CryptoStream(int most) {
        this.most = most;
    }

    /** Takes the next {@code length} bytes of a buffer; a {@link MalformedPacketException} where they do not fit. */
    void add(long offset, ByteBuffer from, int length) {
        if (offset > most - length) {
            throw new MalformedPacketException("a hello of more than " + most + " bytes");
        }
        int at = (int) offset;
        if (at + length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(most, Math.max(at + length, 2 * bytes.length)));
        }
        for (int i = at; i < at + length; i++) {
            byte b = from.get();
            if (have.get(i) && bytes[i] != b) {
                throw new MalformedPacketException("a hello that says two things at one place");
            }
            bytes[i] = b;
            have.set(i);
        }
        prefix = have.nextClearBit(prefix);
    }

    /** What has come without a gap from the beginning on. */
    ByteBuffer whole() {
        return ByteBuffer.wrap(bytes, 0, prefix).asReadOnlyBuffer();
    }
}
