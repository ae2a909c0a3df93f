package tulipshed.quic;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The frames of an Initial packet (RFC 9000 section 17.2.2), as far as they matter here.
 *
 * @param handshake whether there is a CRYPTO frame
 * @param closes whether there is a CONNECTION_CLOSE frame
 * @param closeCode the error code of that frame; 0 where there is none
 */
record InitialFrames(boolean handshake, boolean closes, long closeCode) {
    /** Transport error codes (RFC 9000 section 20.1). */
    static final int INTERNAL_ERROR = 0x01;

    static final int CONNECTION_REFUSED = 0x02;
    static final int PROTOCOL_VIOLATION = 0x0a;
    private static final int PADDING = 0x00;
    private static final int PING = 0x01;
    private static final int ACK = 0x02;
    private static final int ACK_ECN = 0x03;
    private static final int CRYPTO = 0x06;
    private static final int CLOSE = 0x1c;
    private static final int CLOSE_APPLICATION = 0x1d;

    /**
     * Reads frames.
     *
     * @throws MalformedPacketException if a frame is truncated, or an Initial must not carry it
     */
    static InitialFrames read(byte[] frames) {
        return read(frames, null);
    }

    /** The same, and adds the data of CRYPTO frames to a stream. */
    static InitialFrames read(byte[] frames, CryptoStream stream) {
        ByteBuffer in = ByteBuffer.wrap(frames);
        boolean handshake = false;
        try {
            while (in.hasRemaining()) {
                int type = (int) VariableLengthInteger.read(in);
                switch (type) {
                    case PADDING, PING -> {}
                    case ACK, ACK_ECN -> ack(in, type == ACK_ECN);
                    case CRYPTO -> {
                        crypto(in, stream);
                        handshake = true;
                    }
                    case CLOSE, CLOSE_APPLICATION -> {
                        return new InitialFrames(handshake, true, VariableLengthInteger.read(in));
                    }
                    default -> throw new MalformedPacketException(PacketDefect.FRAME_NOT_ALLOWED);
                }
            }
        } catch (BufferUnderflowException e) {
            throw new MalformedPacketException(PacketDefect.FRAME_TRUNCATED);
        }
        return new InitialFrames(handshake, false, 0);
    }

    private static void ack(ByteBuffer in, boolean ecn) {
        VariableLengthInteger.read(in);
        VariableLengthInteger.read(in);
        long ranges = VariableLengthInteger.read(in);
        VariableLengthInteger.read(in);
        for (long i = 0; i < 2 * ranges + (ecn ? 3 : 0); i++) {
            VariableLengthInteger.read(in);
        }
    }

    private static void crypto(ByteBuffer in, CryptoStream stream) {
        long offset = VariableLengthInteger.read(in);
        if (stream == null) {
            skip(in);
            return;
        }
        long length = VariableLengthInteger.read(in);
        if (length > in.remaining()) {
            throw new MalformedPacketException(PacketDefect.FRAME_TRUNCATED);
        }
        stream.add(offset, in, (int) length);
    }

    private static void skip(ByteBuffer in) {
        long length = VariableLengthInteger.read(in);
        if (length > in.remaining()) {
            throw new MalformedPacketException(PacketDefect.FRAME_TRUNCATED);
        }
        in.position(in.position() + (int) length);
    }

    /** A CONNECTION_CLOSE frame. */
    static byte[] close(int code, String reason) {
        byte[] text = reason.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(4 + 2 + text.length);
        out.put((byte) CLOSE).put((byte) code).put((byte) PADDING);
        VariableLengthInteger.writeTwoBytes(out, text.length);
        out.put(text);
        byte[] frame = new byte[out.position()];
        out.flip().get(frame);
        return frame;
    }
}
