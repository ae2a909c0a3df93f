package tulipshed.quic;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.random.RandomGenerator;
import javax.crypto.Cipher;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;
import tulipshed.connectionid.ConnectionId;

/** Retry packets with their integrity tag (RFC 9000 section 17.2.5, RFC 9001 section 5.8, RFC 9369 section 3.3.3). */
final class RetryPacket {
    private static final int TAG_BYTES = 16;

    private RetryPacket() {}

    /**
     * A Retry packet.
     *
     * @param clientId the client's source ID
     * @param retrySourceId the ID that the client is to use from now on
     * @param originalDestinationId the destination ID of the client's Initial
     */
    static byte[] make(
            Version version,
            ConnectionId clientId,
            ConnectionId retrySourceId,
            ConnectionId originalDestinationId,
            byte[] token,
            RandomGenerator random) {
        return make(version, clientId, retrySourceId, originalDestinationId, token, random.nextInt(16));
    }

    /** The same with these values of the four unused bits of the first byte. */
    static byte[] make(
            Version version,
            ConnectionId clientId,
            ConnectionId retrySourceId,
            ConnectionId originalDestinationId,
            byte[] token,
            int unusedBits) {
        int length = 1 + 4 + 2 + clientId.length() + retrySourceId.length() + token.length;
        byte[] withoutTag = ByteBuffer.allocate(length)
                .put((byte) (0xC0 | version.bits(Packet.Type.RETRY) << 4 | unusedBits))
                .putInt((int) version.number)
                .put((byte) clientId.length())
                .put(clientId.bytes())
                .put((byte) retrySourceId.length())
                .put(retrySourceId.bytes())
                .put(token)
                .array();
        byte[] packet = Arrays.copyOf(withoutTag, length + TAG_BYTES);
        System.arraycopy(tag(version, originalDestinationId, withoutTag), 0, packet, length, TAG_BYTES);
        return packet;
    }

    /** The Retry Integrity Tag, over the original destination ID and the packet without the tag. */
    private static byte[] tag(Version version, ConnectionId originalDestinationId, byte[] packet) {
        boolean isV2 = version == Version.V2;
        byte[] key =
                HexFormat.of().parseHex(isV2 ? "8fb4b01b56ac48e260fbcbcead7ccc92" : "be0c690b9f66575a1d766b54e368c84e");
        byte[] nonce = HexFormat.of().parseHex(isV2 ? "d86969bc2d7c6d9990efb04a" : "461599d35d632bf2239825bb");
        try {
            Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
            cipher.init(Cipher.ENCRYPT_MODE, new SecretKeySpec(key, "AES"), new GCMParameterSpec(8 * TAG_BYTES, nonce));
            cipher.updateAAD(new byte[] {(byte) originalDestinationId.length()});
            cipher.updateAAD(originalDestinationId.bytes());
            cipher.updateAAD(packet);
            return cipher.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the virtual machine lacks an algorithm of QUIC", e);
        }
    }
}
