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
 * Tokens that prove an address (RFC 9000 section 8.1.3): the number of a key, a nonce, and sealed under that key when the
 * token ends and which id the client chose first. The client's address and port and the id that Retry gave it are bound
 * in, so a token is worth nothing from elsewhere. Every node that has the key can read it, and so can servers, which need
 * the first id for their transport parameters (RFC 9000 section 7.3).
 *
 * <p>A client accepts one Retry only, so a token that is refused without need costs it its connection; and the end that a
 * token tells is of the wall clock of the node that sealed it, which may step, or differ from that of the node that opens it.
 * So the age of a token of its own is told by the monotonic clock: its nonce, which only has to be unique, holds a tag of this
 * instance and the time of sealing. That of any other, also of one sealed before a reload, is told by its end and the wall
 * clock, and a token is accepted that is off by no more than a tolerance of hours. Until then somebody who was once heard at
 * an address can go on proving that address, with that one id, and no other: what a token is to prevent, that answers go to
 * an address which never asked, stays prevented. Confined to one thread.
 */
final class RetryTokens {
    private static final int NONCE = 12;
    private static final int TAG = 16;
    private static final int SEQUENCE_BITS = 20;
    private static final long SEQUENCE_MASK = (1L << SEQUENCE_BITS) - 1;

    private final Map<Integer, SecretKeySpec> keys = new TreeMap<>();
    private final int use;
    private final double lifeMs;
    private final double toleranceMs;
    private final WallClock wallClock;
    /** By which this instance knows its own tokens. */
    private final int instance;
    /** Hides the time of sealing, which would tell clients how long the node has run. */
    private final long mask;

    private long sequence;

    /** What a token says: the id that the client chose first, which the server must repeat. */
    record Proof(ConnectionId first) {}

    /**
     * Keys of 16 bytes by their numbers from 0 to 255; those not in use still open what they sealed.
     *
     * @param lifeMs how long a token holds
     * @param toleranceMs how far the wall clocks of two nodes may differ
     */
    RetryTokens(Map<Integer, byte[]> keys, int use, double lifeMs, double toleranceMs, WallClock wallClock) {
        keys.forEach((n, k) -> this.keys.put(n, new SecretKeySpec(k, "AES")));
        this.use = use;
        this.lifeMs = lifeMs;
        this.toleranceMs = toleranceMs;
        this.wallClock = wallClock;
        SecureRandom random = new SecureRandom();
        instance = random.nextInt();
        mask = random.nextLong();
    }

    /**
     * A token for that address.
     *
     * @param given the id that the Retry tells the client to use
     * @param nowMs the present time of the monotonic clock
     */
    byte[] seal(InetSocketAddress client, ConnectionId first, ConnectionId given, double nowMs) {
        byte[] nonce = nonce(nowMs);
        byte[] plain = ByteBuffer.allocate(9 + first.length())
                .putLong(wallClock.now().epochMs() + (long) lifeMs)
                .put((byte) first.length())
                .put(first.bytes())
                .array();
        try {
            byte[] sealed =
                    cipher(Cipher.ENCRYPT_MODE, use, nonce, client, given).doFinal(plain);
            return ByteBuffer.allocate(1 + NONCE + sealed.length)
                    .put((byte) use)
                    .put(nonce)
                    .put(sealed)
                    .array();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this virtual machine lacks what QUIC needs", e);
        }
    }

    /** Unique under any key: by the tag among instances, by time and sequence within this one. */
    private byte[] nonce(double nowMs) {
        sequence++;
        long moment = (long) Math.floor(nowMs) << SEQUENCE_BITS | (sequence & SEQUENCE_MASK);
        return ByteBuffer.allocate(NONCE)
                .putInt(instance)
                .putLong(moment ^ mask)
                .array();
    }

    /** What a token proves of a client that uses it with that id; null where it is forged, expired or from elsewhere. */
    Proof open(byte[] token, InetSocketAddress client, ConnectionId given, double nowMs) {
        if (token.length < 1 + NONCE + 9 + TAG || !keys.containsKey(token[0] & 0xFF)) {
            return null;
        }
        byte[] nonce = Arrays.copyOfRange(token, 1, 1 + NONCE);
        try {
            Cipher c = cipher(Cipher.DECRYPT_MODE, token[0] & 0xFF, nonce, client, given);
            ByteBuffer plain = ByteBuffer.wrap(c.doFinal(token, 1 + NONCE, token.length - 1 - NONCE));
            long endEpochMs = plain.getLong();
            byte[] first = new byte[plain.get() & 0xFF];
            if (first.length != plain.remaining()
                    || first.length > ConnectionId.LONGEST
                    || !holds(ByteBuffer.wrap(nonce), endEpochMs, nowMs)) {
                return null;
            }
            plain.get(first);
            return new Proof(new ConnectionId(first));
        } catch (GeneralSecurityException e) {
            return null;
        }
    }

    /** Whether its time is not over; the nonce is authentic, as the token opened with it. */
    private boolean holds(ByteBuffer nonce, long endEpochMs, double nowMs) {
        if (nonce.getInt() == instance) {
            long sealedMs = (nonce.getLong() ^ mask) >> SEQUENCE_BITS;
            return nowMs - sealedMs <= lifeMs;
        }
        double ageMs = wallClock.now().millisAfter(new WallTime(endEpochMs)) + lifeMs;
        return ageMs >= -toleranceMs && ageMs <= lifeMs + toleranceMs;
    }

    private Cipher cipher(int mode, int key, byte[] nonce, InetSocketAddress client, ConnectionId given)
            throws GeneralSecurityException {
        Cipher c = Cipher.getInstance("AES/GCM/NoPadding");
        c.init(mode, keys.get(key), new GCMParameterSpec(8 * TAG, nonce));
        byte[] address = client.getAddress().getAddress();
        c.updateAAD(ByteBuffer.allocate(1 + 16 + 2 + given.length())
                .put((byte) key)
                .putLong(Network.high(address))
                .putLong(Network.low(address))
                .putShort((short) client.getPort())
                .put(given.bytes())
                .array());
        return c;
    }
}
