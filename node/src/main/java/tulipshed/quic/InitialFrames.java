package tulipshed.quic;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What an Initial packet says: whether it carries on a handshake, or closes the connection and why. */
record InitialFrames(boolean handshake, boolean closes, long closeCode) {
    /** Error codes of the transport (RFC 9000 section 20.1). */
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

    /** Reads frames; those that an Initial may not carry make it a {@link MalformedPacketException}. */
    static InitialFrames read(byte[] frames) {
        return read(frames, null);
    }

    /** The same, and what CRYPTO frames carry goes into a stream. */
    static InitialFrames read(byte[] frames, CryptoStream stream) {
        ByteBuffer in = ByteBuffer.wrap(frames);
        boolean handshake = false;
        try {
            while (in.hasRemaining()) {
                int type = (int) Packet.number(in);
                switch (type) {
                    case PADDING, PING -> {}
                    case ACK, ACK_ECN -> ack(in, type == ACK_ECN);
                    case CRYPTO -> {
                        crypto(in, stream);
                        handshake = true;
                    }
                    case CLOSE, CLOSE_APPLICATION -> {
                        return new InitialFrames(handshake, true, Packet.number(in));
                    }
                    default ->
                        throw new MalformedPacketException("a frame that does not belong into an Initial: " + type);
                }
            }
        } catch (BufferUnderflowException e) {
            throw new MalformedPacketException("a frame that is cut off");
        }
        return new InitialFrames(handshake, false, 0);
    }

    private static void ack(ByteBuffer in, boolean ecn) {
        Packet.number(in);
        Packet.number(in);
        long ranges = Packet.number(in);
        Packet.number(in);
        for (long i = 0; i < 2 * ranges + (ecn ? 3 : 0); i++) {
            Packet.number(in);
        }
    }

    private static void crypto(ByteBuffer in, CryptoStream stream) {
        long offset = Packet.number(in);
        if (stream == null) {
            skip(in);
            return;
        }
        long length = Packet.number(in);
        if (length > in.remaining()) {
            throw new MalformedPacketException("a frame past the end of its packet");
        }
        stream.add(offset, in, (int) length);
    }

    private static void skip(ByteBuffer in) {
        long length = Packet.number(in);
        if (length > in.remaining()) {
            throw new MalformedPacketException("a frame past the end of its packet");
        }
        in.position(in.position() + (int) length);
    }

    /** A CONNECTION_CLOSE frame. */
    static byte[] close(int code, String reason) {
        byte[] text = reason.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(4 + 2 + text.length);
        out.put((byte) CLOSE).put((byte) code).put((byte) PADDING);
        Packet.number(out, text.length);
        out.put(text);
        byte[] frame = new byte[out.position()];
        out.flip().get(frame);
        return frame;
    }
}
