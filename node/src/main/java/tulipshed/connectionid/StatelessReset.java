package tulipshed.connectionid;

import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.random.RandomGenerator;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Stateless resets (RFC 9000 section 10.3) under a key that the node shares with the servers. The token of a connection ID is
 * the first 16 bytes of its HMAC-SHA-256 (RFC 9000 section 10.3.2), so that a client accepts a reset of the node as its
 * server's. Immutable.
 */
public final class StatelessReset {
    /** The length of a token, in bytes. */
    public static final int TOKEN = 16;
    /** The length of the shortest reset, in bytes (RFC 9000 section 10.3). */
    public static final int LEAST = 21;

    /** The length of a reset, unless the datagram that it answers is too short. */
    private static final int USUAL_BYTES = 43;

    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final int RANDOM_BITS_MASK = 0x3F;
    private static final int SHORT_HEADER = 0x40;

    private final SecretKeySpec key;

    /** Resets under this key, of 16 bytes or more. */
    public StatelessReset(byte[] key) {
        this.key = new SecretKeySpec(key, MAC_ALGORITHM);
    }

    /** The token of a connection ID, which servers send to their clients with the ID. */
    public byte[] token(ConnectionId id) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(key);
            return Arrays.copyOf(mac.doFinal(id.bytes()), TOKEN);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * A datagram that resets the connection with this ID.
     *
     * @param triggerBytes the length of the datagram that it answers; it is shorter, to prevent loops (RFC 9000 section
     *     10.3.3), but not shorter than {@link #LEAST}
     */
    public byte[] datagram(ConnectionId id, int triggerBytes, RandomGenerator random) {
        byte[] reset = new byte[Math.max(LEAST, Math.min(USUAL_BYTES, triggerBytes - 1))];
        random.nextBytes(reset);
        reset[0] = (byte) ((reset[0] & RANDOM_BITS_MASK) | SHORT_HEADER);
        System.arraycopy(token(id), 0, reset, reset.length - TOKEN, TOKEN);
        return reset;
    }
}
