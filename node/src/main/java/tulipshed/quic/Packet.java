package tulipshed.quic;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntUnaryOperator;
import tulipshed.connectionid.ConnectionId;

/**
 * What can be read of a packet without keys (RFC 8999; RFC 9000 section 17 and RFC 9369 for the versions known here). A datagram may
 * hold several with long headers, one after the other.
 */
record Packet(
        Type type,
        long version,
        ConnectionId destination,
        ConnectionId source,
        byte[] datagram,
        int from,
        int packetNumberAt,
        int to,
        byte[] token) {
    private static final byte[] NO_TOKEN = {};
    private static final int LONG_FORM = 0x80;
    private static final int FIXED_BIT = 0x40;

    /** The kinds of packet; {@code OTHER_VERSION} stands for any long header of a version not known here. */
    enum Type {
        INITIAL,
        ZERO_RTT,
        HANDSHAKE,
        RETRY,
        VERSION_NEGOTIATION,
        OTHER_VERSION,
        SHORT
    }

    /**
     * Reads all packets of a datagram; of one with a short header the destination id has the length given,
     * as such a header does not tell it. A later packet that cannot be read ends the list.
     */
    static List<Packet> read(byte[] datagram, int shortIdLength) {
        return read(datagram, first -> shortIdLength);
    }

    /** The same where the first byte of a short header's id tells how long it is. */
    static List<Packet> read(byte[] datagram, IntUnaryOperator shortIdLength) {
        List<Packet> packets = new ArrayList<>();
        int from = 0;
        while (from < datagram.length) {
            try {
                Packet p = one(datagram, from, shortIdLength);
                packets.add(p);
                from = p.to;
            } catch (MalformedPacketException | BufferUnderflowException | IllegalArgumentException e) {
                if (packets.isEmpty()) {
                    throw new MalformedPacketException("not a packet of QUIC");
                }
                return packets;
            }
        }
        if (packets.isEmpty()) {
            throw new MalformedPacketException("an empty datagram");
        }
        return packets;
    }

    private static Packet one(byte[] datagram, int from, IntUnaryOperator shortIdLength) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        in.position(from);
        int first = in.get() & 0xFF;
        if ((first & LONG_FORM) == 0) {
            ConnectionId id = id(in, shortIdLength.applyAsInt(in.hasRemaining() ? in.get(in.position()) & 0xFF : 0));
            return new Packet(Type.SHORT, 0, id, null, datagram, from, in.position(), datagram.length, NO_TOKEN);
        }
        long version = in.getInt() & 0xFFFFFFFFL;
        ConnectionId destination = id(in, in.get() & 0xFF);
        ConnectionId source = id(in, in.get() & 0xFF);
        Version known = Version.of(version);
        if (known == null) {
            Type type = version == 0 ? Type.VERSION_NEGOTIATION : Type.OTHER_VERSION;
            return new Packet(
                    type, version, destination, source, datagram, from, in.position(), datagram.length, NO_TOKEN);
        }
        Type type = known.type(first >> 4 & 3);
        if (type == Type.RETRY) {
            return new Packet(
                    type, version, destination, source, datagram, from, in.position(), datagram.length, NO_TOKEN);
        }
        byte[] token = NO_TOKEN;
        if (type == Type.INITIAL) {
            long length = number(in);
            int at = in.position();
            skip(in, length);
            token = Arrays.copyOfRange(datagram, at, in.position());
        }
        long length = number(in);
        int at = in.position();
        skip(in, length);
        return new Packet(type, version, destination, source, datagram, from, at, in.position(), token);
    }

    /** Whether the bit is set that both ends may agree to leave to chance (RFC 9287); a first packet has it. */
    boolean fixedBit() {
        return (datagram[from] & FIXED_BIT) != 0;
    }

    private static ConnectionId id(ByteBuffer in, int length) {
        if (length > ConnectionId.LONGEST) {
            throw new MalformedPacketException("a connection id of " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new ConnectionId(bytes);
    }

    private static void skip(ByteBuffer in, long bytes) {
        if (bytes > in.remaining()) {
            throw new MalformedPacketException("a length past the end of the datagram");
        }
        in.position(in.position() + (int) bytes);
    }

    /** An integer of variable length (RFC 9000 section 16). */
    static long number(ByteBuffer in) {
        int first = in.get() & 0xFF;
        long value = first & 0x3F;
        for (int i = (1 << (first >> 6)) - 1; i > 0; i--) {
            value = value << 8 | (in.get() & 0xFF);
        }
        return value;
    }

    /** Writes an integer below 2^14 in two bytes. */
    static void number(ByteBuffer out, int value) {
        out.putShort((short) (0x4000 | value));
    }
}
