package tulipshed.quic;

import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.crypto.Cipher;
import javax.crypto.spec.SecretKeySpec;

/**
 * Connection ids that carry the id of their server, as the QUIC-LB draft lays them out: a first byte with the
 * number of the configuration in its upper three bits, then server id and nonce, in the clear or, with a key,
 * encrypted in one pass (16 bytes together) or four.
 */
final class ServerIds {
    private static final int BLOCK = 16;
    private static final int CONFIGURATIONS = 7;
    private final int configuration;
    private final int serverBytes;
    private final int nonceBytes;
    private final SecretKeySpec key;

    /** The key is null where ids are in the clear. */
    ServerIds(int configuration, int serverBytes, int nonceBytes, byte[] key) {
        if (configuration < 0 || configuration >= CONFIGURATIONS || serverBytes < 1 || serverBytes > 15
                || nonceBytes < 4 || serverBytes + nonceBytes > ConnectionId.LONGEST - 1
                || key != null && key.length != BLOCK) {
            throw new IllegalArgumentException("a configuration that the QUIC-LB draft does not allow");
        }
        this.configuration = configuration;
        this.serverBytes = serverBytes;
        this.nonceBytes = nonceBytes;
        this.key = key == null ? null : new SecretKeySpec(key, "AES");
    }

    /** How long ids of this configuration are. */
    int idLength() {
        return 1 + serverBytes + nonceBytes;
    }

    int configuration() {
        return configuration;
    }

    /** The server's id in a connection id, or null where it is not of this configuration. */
    byte[] server(ConnectionId id) {
        byte[] bytes = id.bytes();
        if (bytes.length != idLength() || (bytes[0] & 0xFF) >> 5 != configuration) {
            return null;
        }
        byte[] plain = key == null ? Arrays.copyOfRange(bytes, 1, bytes.length)
                : decrypt(Arrays.copyOfRange(bytes, 1, bytes.length));
        return Arrays.copyOf(plain, serverBytes);
    }

    /** The connection id of a server; servers make theirs this way. */
    ConnectionId id(byte[] server, byte[] nonce) {
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

    private byte[] block(int mode, byte[] in) {
        try {
            Cipher c = Cipher.getInstance("AES/ECB/NoPadding");
            c.init(mode, key);
            return c.doFinal(in);
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
