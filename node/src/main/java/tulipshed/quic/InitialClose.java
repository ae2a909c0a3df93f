package tulipshed.quic;

import java.util.List;
import tulipshed.connectionid.ConnectionId;

/** Initial packets with CONNECTION_CLOSE, as an end sends them that ends a handshake (RFC 9000 section 10.2.3). */
final class InitialClose {
    private InitialClose() {}

    /**
     * A datagram with such a packet of the server.
     *
     * @param initialKeyId the ID that the Initial keys follow from
     * @param clientId the client's source ID
     */
    static byte[] datagram(
            Version version, ConnectionId initialKeyId, ConnectionId clientId, int errorCode, String reason) {
        return InitialKeys.server(version, initialKeyId)
                .seal(clientId, initialKeyId, 0, InitialFrames.close(errorCode, reason));
    }

    /** Whether an Initial of the client among the packets, under the keys of this ID, carries CONNECTION_CLOSE. */
    static boolean isIn(List<Packet> packets, ConnectionId initialKeyId) {
        for (Packet packet : packets) {
            if (packet.type() == Packet.Type.INITIAL && isIn(packet, initialKeyId)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isIn(Packet initial, ConnectionId initialKeyId) {
        try {
            byte[] frames = InitialKeys.client(Version.of(initial.version()), initialKeyId)
                    .open(initial);
            return InitialFrames.read(frames).closes();
        } catch (MalformedPacketException e) {
            return false;
        }
    }
}
