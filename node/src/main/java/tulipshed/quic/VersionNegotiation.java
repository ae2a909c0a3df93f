package tulipshed.quic;

import java.nio.ByteBuffer;
import java.util.random.RandomGenerator;

/** Version Negotiation packets (RFC 8999 section 6, RFC 9000 section 17.2.1). */
final class VersionNegotiation {
    private static final int LONG_HEADER = 0x80;
    private static final int UNUSED_BITS_BOUND = 0x80;
    private static final int NEGOTIATION_VERSION = 0;

    /** Header byte, version, two ID lengths and three versions. */
    private static final int BYTES_WITHOUT_IDS = 19;

    private VersionNegotiation() {}

    /**
     * The answer to a packet of an unknown version. Besides the versions of this node it lists a reserved one, so that clients
     * do not come to rely on the list (RFC 9000 section 6.3).
     */
    static byte[] answer(Packet packet, RandomGenerator random) {
        ByteBuffer out = ByteBuffer.allocate(BYTES_WITHOUT_IDS
                + packet.source().length()
                + packet.destination().length());
        out.put((byte) (LONG_HEADER | random.nextInt(UNUSED_BITS_BOUND))).putInt(NEGOTIATION_VERSION);
        out.put((byte) packet.source().length()).put(packet.source().bytes());
        out.put((byte) packet.destination().length()).put(packet.destination().bytes());
        out.putInt((int) Version.V1.number).putInt((int) Version.V2.number).putInt((int) Version.GREASE);
        return out.array();
    }
}
