package tulipshed.connectionid;

import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.HexFormat;
import javax.crypto.Cipher;
import javax.crypto.spec.SecretKeySpec;

/**
 * One configuration of routable connection IDs (QUIC-LB section 5): a first byte with the configuration's number in its upper
 * three bits, then server ID and nonce, in plaintext or, with a key, encrypted in a single pass (16 bytes together) or in four
 * passes.
 *
 * <p>With a key the first bytes of the nonce may be the server's number of the connection, which is the same in all of its IDs.
 * Only a holder of the key can then see which IDs belong to one connection. The draft leaves the nonce to servers.
 *
 * <p>Immutable; safe for use by several threads.
 */
public final class ServerIds {
    /** The number of configurations, from 0 to 6; 7 marks unroutable connection IDs (QUIC-LB section 3.2). */
    public static final int CONFIGURATIONS = 7;
    /** The length of a key, in bytes. */
    public static final int KEY = 16;
    /** The length of the longest connection number, in bytes. */
    public static final int LONGEST_NUMBER = 7;

    private static final int BLOCK = 16;
    private static final int CONFIGURATION_SHIFT = 5;
    private static final int MIN_SERVER_ID_BYTES = 1;
    private static final int MAX_SERVER_ID_BYTES = 15;
    private static final int MIN_NONCE_BYTES = 4;
    private static final int MIN_NUMBER_BYTES = 2;

    private final int configuration;
    private final int serverBytes;
    private final int nonceBytes;
    private final int numberBytes;
    private final SecretKeySpec key;
    /** One for each thread, as creating a cipher takes longer than encrypting a block. */
    private final ThreadLocal<Cipher> encrypting = ThreadLocal.withInitial(() -> cipher(Cipher.ENCRYPT_MODE));

    private final ThreadLocal<Cipher> decrypting = ThreadLocal.withInitial(() -> cipher(Cipher.DECRYPT_MODE));

    /**
     * The content of a connection ID.
     *
     * @param server the server ID in hexadecimal
     * @param connection the server's number of the connection; -1 where connection IDs carry none
     */
    public record Lead(String server, long connection) {}

    /**
     * A configuration whose connection IDs carry no connection number.
     *
     * @param configuration the number of the configuration, 0 to 6
     * @param serverBytes the length of a server ID, 1 to 15
     * @param nonceBytes the length of a nonce, 4 to 18; at most 19 together with the server ID
     * @param key 16 bytes, or null for plaintext
     * @throws IllegalArgumentException if the draft does not allow these values
     */
    public ServerIds(int configuration, int serverBytes, int nonceBytes, byte[] key) {
        this(configuration, serverBytes, nonceBytes, 0, key);
    }

    /**
     * A configuration whose nonces begin with a connection number.
     *
     * @param numberBytes the length of the number: 0 for none, else 2 to 7 and fewer than the nonce has, and only with a key,
     *     as observers could otherwise link a client's network paths (RFC 9000 section 9.5)
     * @throws IllegalArgumentException if the draft does not allow these values
     */
    public ServerIds(int configuration, int serverBytes, int nonceBytes, int numberBytes, byte[] key) {
        if (configuration < 0
                || configuration >= CONFIGURATIONS
                || serverBytes < MIN_SERVER_ID_BYTES
                || serverBytes > MAX_SERVER_ID_BYTES
                || nonceBytes < MIN_NONCE_BYTES
                || serverBytes + nonceBytes > ConnectionId.LONGEST - 1
                || (key != null && key.length != KEY)
                || (numberBytes != 0
                        && (numberBytes < MIN_NUMBER_BYTES
                                || numberBytes > LONGEST_NUMBER
                                || numberBytes >= nonceBytes
                                || key == null))) {
            throw new IllegalArgumentException("a configuration that the QUIC-LB draft does not allow");
        }
        this.configuration = configuration;
        this.serverBytes = serverBytes;
        this.nonceBytes = nonceBytes;
        this.numberBytes = numberBytes;
        this.key = key == null ? null : new SecretKeySpec(key, "AES");
    }

    /** The length of the connection IDs of this configuration, in bytes. */
    public int idLength() {
        return 1 + serverBytes + nonceBytes;
    }

    /** The number of this configuration, 0 to 6. */
    public int configuration() {
        return configuration;
    }

    /** The length of a server ID, in bytes. */
    public int serverBytes() {
        return serverBytes;
    }

    /** The length of a nonce, in bytes. */
    public int nonceBytes() {
        return nonceBytes;
    }

    /** The length of the connection number in a nonce, in bytes; 0 for none. */
    public int numberBytes() {
        return numberBytes;
    }

    /** Decodes a connection ID; null where it is not of this configuration. */
    public Lead read(ConnectionId id) {
        if (id.length() != idLength() || id.first() >> CONFIGURATION_SHIFT != configuration) {
            return null;
        }
        byte[] bytes = id.bytes();
        byte[] plain = Arrays.copyOfRange(bytes, 1, bytes.length);
        plain = key == null ? plain : decrypt(plain);
        long connection = numberBytes == 0 ? -1 : 0;
        for (int i = 0; i < numberBytes; i++) {
            connection = connection << 8 | (plain[serverBytes + i] & 0xFF);
        }
        return new Lead(HexFormat.of().formatHex(plain, 0, serverBytes), connection);
    }

    /** Encodes a connection ID of a server and a nonce; {@link ServerIdGenerator} chooses nonces. */
    public ConnectionId id(byte[] server, byte[] nonce) {
        if (server.length != serverBytes || nonce.length != nonceBytes) {
            throw new IllegalArgumentException("a server id of " + server.length + " bytes and a nonce of "
                    + nonce.length + ", not " + serverBytes + " and " + nonceBytes);
        }
        byte[] plain = Arrays.copyOf(server, serverBytes + nonceBytes);
        System.arraycopy(nonce, 0, plain, serverBytes, nonceBytes);
        byte[] coded = key == null ? plain : encrypt(plain);
        byte[] id = new byte[idLength()];
        id[0] = (byte) (configuration << CONFIGURATION_SHIFT | coded.length);
        System.arraycopy(coded, 0, id, 1, coded.length);
        return new ConnectionId(id);
    }

    private byte[] encrypt(byte[] plain) {
        return plain.length == BLOCK ? block(Cipher.ENCRYPT_MODE, plain) : fourPasses(plain, 1, 2, 3, 4);
    }

    private byte[] decrypt(byte[] coded) {
        return coded.length == BLOCK ? block(Cipher.DECRYPT_MODE, coded) : fourPasses(coded, 4, 3, 2, 1);
    }

    private Cipher cipher(int mode) {
        try {
            Cipher cipher = Cipher.getInstance("AES/ECB/NoPadding");
            cipher.init(mode, key);
            return cipher;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the virtual machine lacks AES", e);
        }
    }

    private byte[] block(int mode, byte[] in) {
        try {
            return (mode == Cipher.ENCRYPT_MODE ? encrypting : decrypting).get().doFinal(in);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A Feistel network over two halves (QUIC-LB section 5); of an odd length each half has four bits of the middle byte. */
    private byte[] fourPasses(byte[] in, int... order) {
        int half = (in.length + 1) / 2;
        boolean odd = in.length % 2 == 1;
        byte[] left = Arrays.copyOf(in, half);
        byte[] right = Arrays.copyOfRange(in, in.length - half, in.length);
        keepHalves(left, right, odd);
        for (int pass : order) {
            boolean fromLeft = pass % 2 == 1;
            byte[] from = fromLeft ? left : right;
            byte[] to = fromLeft ? right : left;
            byte[] expanded = Arrays.copyOf(from, BLOCK);
            expanded[BLOCK - 2] = (byte) in.length;
            expanded[BLOCK - 1] = (byte) pass;
            byte[] mask = block(Cipher.ENCRYPT_MODE, expanded);
            for (int i = 0; i < half; i++) {
                to[i] ^= mask[i];
            }
            keepHalves(left, right, odd);
        }
        byte[] out = Arrays.copyOf(left, in.length);
        for (int i = 0; i < half; i++) {
            out[in.length - half + i] |= right[i];
        }
        return out;
    }

    private static void keepHalves(byte[] left, byte[] right, boolean odd) {
        if (odd) {
            left[left.length - 1] &= (byte) 0xF0;
            right[0] &= 0x0F;
        }
    }
}
