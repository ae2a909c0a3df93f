package tulipshed.quic;

import java.nio.ByteBuffer;

/** The variable-length integer encoding (RFC 9000 section 16). */
final class VariableLengthInteger {
    private static final int LENGTH_SHIFT = 6;
    private static final int FIRST_BYTE_VALUE_MASK = 0x3F;
    private static final int TWO_BYTES = 0x4000;

    private VariableLengthInteger() {}

    /**
     * Reads an integer.
     *
     * @throws java.nio.BufferUnderflowException if the buffer ends within it
     */
    static long read(ByteBuffer in) {
        int first = in.get() & 0xFF;
        long value = first & FIRST_BYTE_VALUE_MASK;
        for (int i = (1 << (first >> LENGTH_SHIFT)) - 1; i > 0; i--) {
            value = value << Byte.SIZE | (in.get() & 0xFF);
        }
        return value;
    }

    /** Writes an integer below 2^14 in two bytes. */
    static void writeTwoBytes(ByteBuffer out, int value) {
        out.putShort((short) (TWO_BYTES | value));
    }
}
