package tulipshed.connectionid;

import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.HexFormat;
import javax.crypto.Cipher;
import javax.crypto.spec.SecretKeySpec;

/**
 * One configuration of connection ids that carry the id of their server, as the QUIC-LB draft lays them out (section 5): a
 * first byte with the number of the configuration in its upper three bits, then server id and nonce, in the clear or, with a
 * key, encrypted in one pass (16 bytes together) or four.
 *
 * <p>Under a key the first bytes of the nonce may be the server's number of the connection, the same in all of its ids. Who
 * has the key then sees which ids belong to one connection, and nobody else does. The draft leaves the nonce to servers.
 *
 * <p>Safe for use by several threads.
 */
public final class ServerIds {
    /** Configurations are numbered from 0 to 6; 7 marks ids that carry no server (QUIC-LB section 3.2). */
    public static final int CONFIGURATIONS = 7;
    /** Bytes of a key. */
    public static final int KEY = 16;
    /** Most bytes of a connection's number. */
    public static final int LONGEST_NUMBER = 7;

    private static final int BLOCK = 16;
    private final int configuration;
    private final int serverBytes;
    private final int nonceBytes;
    private final int numberBytes;
    private final SecretKeySpec key;
    /** A thread's own, as finding one costs more than a block. */
    private final ThreadLocal<Cipher> encrypting = ThreadLocal.withInitial(() -> cipher(Cipher.ENCRYPT_MODE));

    private final ThreadLocal<Cipher> decrypting = ThreadLocal.withInitial(() -> cipher(Cipher.DECRYPT_MODE));

    /** What an id says: the server's id in hexadecimal, and the number of the connection there, -1 where ids tell none. */
    public record Lead(String server, long connection) {}

    /**
     * One whose ids tell no connections.
     *
     * @param configuration 0 to 6
     * @param serverBytes of a server id, 1 to 15
     * @param nonceBytes 4 to 18; 19 together with the server id
     * @param key 16 bytes, or null where ids are in the clear
     */
    public ServerIds(int configuration, int serverBytes, int nonceBytes, byte[] key) {
        this(configuration, serverBytes, nonceBytes, 0, key);
    }

    /**
     * The same with so many bytes of the nonce for the number of the connection: 0 for none, else 2 to 7 and fewer than the
     * nonce has, and only with a key, as observers could link a client's networks otherwise (RFC 9000 section 9.5).
     */
    public ServerIds(int configuration, int serverBytes, int nonceBytes, int numberBytes, byte[] key) {
        if (configuration < 0
                || configuration >= CONFIGURATIONS
                || serverBytes < 1
                || serverBytes > 15
                || nonceBytes < 4
                || serverBytes + nonceBytes > ConnectionId.LONGEST - 1
                || (key != null && key.length != KEY)
                || (numberBytes != 0
                        && (numberBytes < 2
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

    /** How long ids of this configuration are. */
    public int idLength() {
        return 1 + serverBytes + nonceBytes;
    }

    /** Its number, 0 to 6. */
    public int configuration() {
        return configuration;
    }

    /** How many bytes a server id has. */
    public int serverBytes() {
        return serverBytes;
    }

    /** How many bytes a nonce has. */
    public int nonceBytes() {
        return nonceBytes;
    }

    /** How many of them are the number of the connection; 0 for none. */
    public int numberBytes() {
        return numberBytes;
    }

    /** What a connection id says, or null where it is not of this configuration. */
    public Lead read(ConnectionId id) {
        if (id.length() != idLength() || id.first() >> 5 != configuration) {
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

    /** The connection id of a server with that nonce; {@link ServerIdGenerator} chooses nonces. */
    public ConnectionId id(byte[] server, byte[] nonce) {
        if (server.length != serverBytes || nonce.length != nonceBytes) {
            throw new IllegalArgumentException("a server id of " + server.length + " bytes and a nonce of "
                    + nonce.length + ", not " + serverBytes + " and " + nonceBytes);
        }
        byte[] plain = Arrays.copyOf(server, serverBytes + nonceBytes);
        System.arraycopy(nonce, 0, plain, serverBytes, nonceBytes);
        byte[] coded = key == null ? plain : encrypt(plain);
        byte[] id = new byte[idLength()];
        id[0] = (byte) (configuration << 5 | coded.length);
        System.arraycopy(coded, 0, id, 1, coded.length);
        return new ConnectionId(id);
    }

    private byte[] encrypt(byte[] plain) {
        return plain.length == BLOCK ? block(Cipher.ENCRYPT_MODE, plain) : passes(plain, 1, 2, 3, 4);
    }

    private byte[] decrypt(byte[] coded) {
        return coded.length == BLOCK ? block(Cipher.DECRYPT_MODE, coded) : passes(coded, 4, 3, 2, 1);
    }

    private Cipher cipher(int mode) {
        try {
            Cipher c = Cipher.getInstance("AES/ECB/NoPadding");
            c.init(mode, key);
            return c;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this virtual machine lacks AES", e);
        }
    }

    private byte[] block(int mode, byte[] in) {
        try {
            return (mode == Cipher.ENCRYPT_MODE ? encrypting : decrypting).get().doFinal(in);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A Feistel network over two halves; where the length is odd they share the middle byte, half each. */
    private byte[] passes(byte[] in, int... order) {
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
