package tulipshed.connectionid;

import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.random.RandomGenerator;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Stateless resets (RFC 9000 section 10.3) under a key that the node shares with the servers: each takes the
 * token of an id to be the first 16 bytes of its HMAC, so a client accepts the node's reset as its server's.
 */
public final class StatelessReset {
    /** Bytes of a token. */
    public static final int TOKEN = 16;
    /** A reset has so many bytes at least (RFC 9000 section 10.3). */
    public static final int LEAST = 21;

    private static final int LENGTH = 43;
    private final SecretKeySpec key;

    /** One under that key, of 16 bytes or more. */
    public StatelessReset(byte[] key) {
        this.key = new SecretKeySpec(key, "HmacSHA256");
    }

    /** The token of an id, which servers hand to their clients with it. */
    public byte[] token(ConnectionId id) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(key);
            return Arrays.copyOf(mac.doFinal(id.bytes()), TOKEN);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A datagram that resets the connection with this id; shorter than the one it answers, to end loops. */
    public byte[] datagram(ConnectionId id, int answered, RandomGenerator random) {
        byte[] reset = new byte[Math.max(LEAST, Math.min(LENGTH, answered - 1))];
        random.nextBytes(reset);
        reset[0] = (byte) ((reset[0] & 0x3F) | 0x40);
        System.arraycopy(token(id), 0, reset, reset.length - TOKEN, TOKEN);
        return reset;
    }
}
