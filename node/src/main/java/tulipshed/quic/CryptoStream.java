package tulipshed.quic;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.BitSet;

/**
 * Reassembles the data of CRYPTO frames (RFC 9000 section 19.6), which may arrive in any order and repeatedly. It is bounded,
 * and repeated data must be the same.
 */
final class CryptoStream {
    private final int maxBytes;
    private byte[] bytes = new byte[0];
    private final BitSet received = new BitSet();
    private int contiguousBytes;

    /** An empty stream of at most {@code maxBytes}. */
    CryptoStream(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds the next {@code length} bytes of a buffer.
     *
     * @throws MalformedPacketException if they exceed the bound, or differ from what was received before
     */
    void add(long offset, ByteBuffer from, int length) {
        if (offset > maxBytes - length) {
            throw new MalformedPacketException(PacketDefect.CRYPTO_BUFFER_EXCEEDED);
        }
        int start = (int) offset;
        int end = start + length;
        if (end > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(maxBytes, Math.max(end, 2 * bytes.length)));
        }
        for (int i = start; i < end; i++) {
            byte next = from.get();
            if (received.get(i) && bytes[i] != next) {
                throw new MalformedPacketException(PacketDefect.CRYPTO_DATA_CHANGED);
            }
            bytes[i] = next;
            received.set(i);
        }
        contiguousBytes = received.nextClearBit(contiguousBytes);
    }

    /** The data from the beginning to the first gap. */
    ByteBuffer contiguous() {
        return ByteBuffer.wrap(bytes, 0, contiguousBytes).asReadOnlyBuffer();
    }
}
