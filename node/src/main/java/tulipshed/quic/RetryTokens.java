package tulipshed.quic;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import javax.crypto.Cipher;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;
import tulipshed.connectionid.ConnectionId;
import tulipshed.expression.Network;
import tulipshed.time.WallClock;
import tulipshed.time.WallTime;

/**
 * The tokens of Retry packets, which validate a client's address (RFC 9000 sections 8.1.2 to 8.1.4). A token consists of the
 * number of a key, a nonce and, encrypted under that key, the expiry time and the original destination ID. The client's address
 * and port and the source ID of the Retry are authenticated with it, so that a token is invalid from another address. Every
 * node that has the key can read it, and so can servers, which need the original destination ID for their transport parameters
 * (RFC 9000 section 7.3).
 *
 * <p>A client accepts one Retry only, so a valid token that is rejected costs the client its connection. The expiry time is that
 * of the wall clock of the node that created the token, which may step, or differ from the clock of the node that opens it.
 * Therefore a node determines the age of its own tokens by its monotonic clock: their nonce, which only has to be unique,
 * contains an identifier of this instance and the time of creation. The age of any other token, also of one created before a
 * reload, follows from its expiry time and the wall clock, within a tolerance of hours. During that time a client that once
 * received at an address can validate that address again, with the same ID; it can validate no other address. Confined to one
 * thread.
 */
final class RetryTokens {
    private static final int NONCE_BYTES = 12;
    private static final int TAG_BYTES = 16;
    private static final int ADDRESS_BYTES = 16;

    /** Expiry time, and the length of the original destination ID. */
    private static final int MIN_PLAIN_BYTES = Long.BYTES + 1;

    private static final int SEQUENCE_BITS = 20;
    private static final long SEQUENCE_MASK = (1L << SEQUENCE_BITS) - 1;

    private final Map<Integer, SecretKeySpec> keys = new TreeMap<>();
    private final int currentKey;
    private final double lifeMs;
    private final double toleranceMs;
    private final WallClock wallClock;
    /** Marks the tokens of this instance. */
    private final int instance;
    /** Hides the time of creation, which would reveal how long the node has been running. */
    private final long mask;

    private long sequence;

    /** The content of a valid token: the destination ID of the client's first Initial, which the server must repeat. */
    record ValidToken(ConnectionId originalDestinationId) {}

    /**
     * Tokens under these keys.
     *
     * @param keys keys of 16 bytes by their numbers, from 0 to 255
     * @param currentKey the number of the key for new tokens
     * @param lifeMs how long a token is valid
     * @param toleranceMs how far the wall clocks of two nodes may differ
     */
    RetryTokens(Map<Integer, byte[]> keys, int currentKey, double lifeMs, double toleranceMs, WallClock wallClock) {
        keys.forEach((number, key) -> this.keys.put(number, new SecretKeySpec(key, "AES")));
        this.currentKey = currentKey;
        this.lifeMs = lifeMs;
        this.toleranceMs = toleranceMs;
        this.wallClock = wallClock;
        SecureRandom random = new SecureRandom();
        instance = random.nextInt();
        mask = random.nextLong();
    }

    /**
     * A token for an address.
     *
     * @param retrySourceId the source ID of the Retry, which the client is to use
     * @param nowMs the present time of the monotonic clock
     */
    byte[] seal(
            InetSocketAddress client, ConnectionId originalDestinationId, ConnectionId retrySourceId, double nowMs) {
        byte[] nonce = nonce(nowMs);
        byte[] plain = ByteBuffer.allocate(MIN_PLAIN_BYTES + originalDestinationId.length())
                .putLong(wallClock.now().epochMs() + (long) lifeMs)
                .put((byte) originalDestinationId.length())
                .put(originalDestinationId.bytes())
                .array();
        try {
            byte[] sealed = cipher(Cipher.ENCRYPT_MODE, currentKey, nonce, client, retrySourceId)
                    .doFinal(plain);
            return ByteBuffer.allocate(1 + NONCE_BYTES + sealed.length)
                    .put((byte) currentKey)
                    .put(nonce)
                    .put(sealed)
                    .array();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the virtual machine lacks an algorithm of QUIC", e);
        }
    }

    /** Unique under any key: by the identifier among instances, by time and sequence within this one. */
    private byte[] nonce(double nowMs) {
        sequence++;
        long moment = (long) Math.floor(nowMs) << SEQUENCE_BITS | (sequence & SEQUENCE_MASK);
        return ByteBuffer.allocate(NONCE_BYTES)
                .putInt(instance)
                .putLong(moment ^ mask)
                .array();
    }

    /** Opens a token of a client; null where it is forged, expired, or of another address or ID. */
    ValidToken open(byte[] token, InetSocketAddress client, ConnectionId retrySourceId, double nowMs) {
        if (token.length < 1 + NONCE_BYTES + MIN_PLAIN_BYTES + TAG_BYTES || !keys.containsKey(token[0] & 0xFF)) {
            return null;
        }
        byte[] nonce = Arrays.copyOfRange(token, 1, 1 + NONCE_BYTES);
        try {
            Cipher cipher = cipher(Cipher.DECRYPT_MODE, token[0] & 0xFF, nonce, client, retrySourceId);
            ByteBuffer plain = ByteBuffer.wrap(cipher.doFinal(token, 1 + NONCE_BYTES, token.length - 1 - NONCE_BYTES));
            long endEpochMs = plain.getLong();
            byte[] id = new byte[plain.get() & 0xFF];
            if (id.length != plain.remaining()
                    || id.length > ConnectionId.LONGEST
                    || !isCurrent(ByteBuffer.wrap(nonce), endEpochMs, nowMs)) {
                return null;
            }
            plain.get(id);
            return new ValidToken(new ConnectionId(id));
        } catch (GeneralSecurityException e) {
            return null;
        }
    }

    /** Whether the token has not expired; the nonce is authentic, as decryption succeeded with it. */
    private boolean isCurrent(ByteBuffer nonce, long endEpochMs, double nowMs) {
        if (nonce.getInt() == instance) {
            long sealedMs = (nonce.getLong() ^ mask) >> SEQUENCE_BITS;
            return nowMs - sealedMs <= lifeMs;
        }
        double ageMs = wallClock.now().millisAfter(new WallTime(endEpochMs)) + lifeMs;
        return ageMs >= -toleranceMs && ageMs <= lifeMs + toleranceMs;
    }

    private Cipher cipher(int mode, int key, byte[] nonce, InetSocketAddress client, ConnectionId retrySourceId)
            throws GeneralSecurityException {
        Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
        cipher.init(mode, keys.get(key), new GCMParameterSpec(8 * TAG_BYTES, nonce));
        byte[] address = client.getAddress().getAddress();
        cipher.updateAAD(ByteBuffer.allocate(1 + ADDRESS_BYTES + Short.BYTES + retrySourceId.length())
                .put((byte) key)
                .putLong(Network.high(address))
                .putLong(Network.low(address))
                .putShort((short) client.getPort())
                .put(retrySourceId.bytes())
                .array());
        return cipher;
    }
}
