package tulipshed.quic;

import java.util.List;
import tulipshed.connectionid.ConnectionId;

/**
 * Assembles the TLS ClientHello of a client from its Initial packets, of which it may need several (RFC 9000 section 7). Without
 * I/O.
 */
final class ClientHelloAssembler {
    private final ConnectionId initialKeyId;
    private final int maxBytes;
    private final CryptoStream stream;
    private ClientHello hello;
    private Version version;
    private boolean closes;

    /**
     * An assembler without data.
     *
     * @param initialKeyId the ID that the Initial keys follow from
     * @param maxBytes the length of the longest ClientHello
     */
    ClientHelloAssembler(ConnectionId initialKeyId, int maxBytes) {
        this.initialKeyId = initialKeyId;
        this.maxBytes = maxBytes;
        stream = new CryptoStream(maxBytes);
    }

    /**
     * Adds the Initial packets of a datagram. Packets of other types, and Initials protected with other keys, are ignored.
     *
     * @return whether at least one Initial was readable
     * @throws MalformedPacketException if a readable Initial carries malformed frames or no ClientHello
     */
    boolean addInitials(List<Packet> packets) {
        boolean isReadable = false;
        for (Packet packet : packets) {
            if (packet.type() == Packet.Type.INITIAL) {
                Version packetVersion = Version.of(packet.version());
                byte[] frames;
                try {
                    frames = InitialKeys.client(packetVersion, initialKeyId).open(packet);
                } catch (MalformedPacketException e) {
                    continue;
                }
                version = packetVersion;
                InitialFrames read = InitialFrames.read(frames, stream);
                isReadable = true;
                closes |= read.closes();
            }
        }
        if (isReadable && hello == null) {
            hello = ClientHello.read(stream.contiguous(), maxBytes);
        }
        return isReadable;
    }

    /** The ClientHello; null while it is incomplete. */
    ClientHello hello() {
        return hello;
    }

    /** The version of the last readable Initial; null before the first. */
    Version version() {
        return version;
    }

    /** Whether an Initial carried CONNECTION_CLOSE. */
    boolean closes() {
        return closes;
    }
}
