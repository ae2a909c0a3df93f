package tulipshed.quic;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntUnaryOperator;
import tulipshed.connectionid.ConnectionId;

/**
 * The header of a packet, as far as it is readable without keys (RFC 8999 section 5; RFC 9000 section 17 and RFC 9369 section 3
 * for versions 1 and 2). Several packets with long headers may be coalesced into a datagram (RFC 9000 section 12.2).
 *
 * @param version 0 for a short header and for a Version Negotiation packet
 * @param source the source connection ID; null for a short header, which has none
 * @param datagram the whole datagram
 * @param start the offset of the packet in the datagram
 * @param packetNumberOffset the offset of the packet number in the datagram, or of what follows the readable header
 * @param end the offset of the first byte after the packet in the datagram
 * @param token the token of an Initial; empty for other types
 */
record Packet(
        Type type,
        long version,
        ConnectionId destination,
        ConnectionId source,
        byte[] datagram,
        int start,
        int packetNumberOffset,
        int end,
        byte[] token) {
    private static final byte[] NO_TOKEN = {};
    private static final int LONG_FORM = 0x80;
    private static final int FIXED_BIT = 0x40;
    private static final int TYPE_SHIFT = 4;
    private static final int TYPE_MASK = 3;

    /** The types of packets; {@code OTHER_VERSION} is any long header of a version other than 1 and 2. */
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
     * Reads all packets of a datagram. A packet that cannot be read ends the list.
     *
     * @param shortIdLength the length of the destination ID of a short header, which does not carry it
     * @throws MalformedPacketException if the first packet cannot be read
     */
    static List<Packet> read(byte[] datagram, int shortIdLength) {
        return read(datagram, first -> shortIdLength);
    }

    /** The same, where the first byte of a short header's ID determines the length of the ID. */
    static List<Packet> read(byte[] datagram, IntUnaryOperator shortIdLength) {
        List<Packet> packets = new ArrayList<>();
        int start = 0;
        while (start < datagram.length) {
            try {
                Packet packet = readOne(datagram, start, shortIdLength);
                packets.add(packet);
                start = packet.end;
            } catch (MalformedPacketException | BufferUnderflowException | IllegalArgumentException e) {
                if (packets.isEmpty()) {
                    throw new MalformedPacketException(PacketDefect.NOT_QUIC);
                }
                return packets;
            }
        }
        if (packets.isEmpty()) {
            throw new MalformedPacketException(PacketDefect.EMPTY_DATAGRAM);
        }
        return packets;
    }

    private static Packet readOne(byte[] datagram, int start, IntUnaryOperator shortIdLength) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        in.position(start);
        int first = in.get() & 0xFF;
        if ((first & LONG_FORM) == 0) {
            int firstIdByte = in.hasRemaining() ? in.get(in.position()) & 0xFF : 0;
            ConnectionId destination = readId(in, shortIdLength.applyAsInt(firstIdByte));
            return upToEnd(Type.SHORT, 0, destination, null, datagram, start, in.position());
        }
        long version = in.getInt() & 0xFFFFFFFFL;
        ConnectionId destination = readId(in, in.get() & 0xFF);
        ConnectionId source = readId(in, in.get() & 0xFF);
        Version supported = Version.of(version);
        if (supported == null) {
            Type type = version == 0 ? Type.VERSION_NEGOTIATION : Type.OTHER_VERSION;
            return upToEnd(type, version, destination, source, datagram, start, in.position());
        }
        Type type = supported.type(first >> TYPE_SHIFT & TYPE_MASK);
        return type == Type.RETRY
                ? upToEnd(type, version, destination, source, datagram, start, in.position())
                : withLength(type, version, destination, source, datagram, start, in);
    }

    /** A packet that takes the rest of its datagram; its readable header ends at {@code headerEnd}. */
    private static Packet upToEnd(
            Type type,
            long version,
            ConnectionId destination,
            ConnectionId source,
            byte[] datagram,
            int start,
            int headerEnd) {
        return new Packet(type, version, destination, source, datagram, start, headerEnd, datagram.length, NO_TOKEN);
    }

    /** A packet whose header carries its length; {@code in} is positioned after the connection IDs. */
    private static Packet withLength(
            Type type,
            long version,
            ConnectionId destination,
            ConnectionId source,
            byte[] datagram,
            int start,
            ByteBuffer in) {
        byte[] token = NO_TOKEN;
        if (type == Type.INITIAL) {
            long tokenLength = VariableLengthInteger.read(in);
            int tokenOffset = in.position();
            skip(in, tokenLength);
            token = Arrays.copyOfRange(datagram, tokenOffset, in.position());
        }
        long length = VariableLengthInteger.read(in);
        int packetNumberOffset = in.position();
        skip(in, length);
        return new Packet(
                type, version, destination, source, datagram, start, packetNumberOffset, in.position(), token);
    }

    /** Whether the fixed bit is set, which first packets have; later both sides may agree to vary it (RFC 9287). */
    boolean fixedBit() {
        return (datagram[start] & FIXED_BIT) != 0;
    }

    private static ConnectionId readId(ByteBuffer in, int length) {
        if (length > ConnectionId.LONGEST) {
            throw new MalformedPacketException(PacketDefect.CONNECTION_ID_TOO_LONG);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new ConnectionId(bytes);
    }

    private static void skip(ByteBuffer in, long bytes) {
        if (bytes > in.remaining()) {
            throw new MalformedPacketException(PacketDefect.LENGTH_EXCEEDS_DATAGRAM);
        }
        in.position(in.position() + (int) bytes);
    }
}
