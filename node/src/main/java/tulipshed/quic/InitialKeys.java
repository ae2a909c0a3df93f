package tulipshed.quic;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.crypto.Cipher;
import javax.crypto.Mac;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;
import tulipshed.connectionid.ConnectionId;

/**
 * The keys of Initial packets in one direction (RFC 9001 section 5). They follow from the id that the client
 * chose first, so anyone on the path can read and make such packets; they prove nothing but a sound form.
 */
final class InitialKeys {
    private static final int TAG = 16;
    private static final int SAMPLE = 16;
    private final Version version;
    private final byte[] key;
    private final byte[] iv;
    private final byte[] mask;

    private InitialKeys(Version version, byte[] secret) throws GeneralSecurityException {
        this.version = version;
        key = expand(secret, version.label + "key", 16);
        iv = expand(secret, version.label + "iv", 12);
        mask = expand(secret, version.label + "hp", 16);
    }

    /** Of what the client sends. */
    static InitialKeys client(Version version, ConnectionId firstDestination) {
        return of(version, firstDestination, "client in");
    }

    /** Of what the server sends. */
    static InitialKeys server(Version version, ConnectionId firstDestination) {
        return of(version, firstDestination, "server in");
    }

    private static InitialKeys of(Version version, ConnectionId destination, String label) {
        try {
            return new InitialKeys(version, expand(hmac(version.salt(), destination.bytes()), label, 32));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this virtual machine lacks what QUIC needs", e);
        }
    }

    byte[] key() {
        return key.clone();
    }

    byte[] iv() {
        return iv.clone();
    }

    byte[] headerKey() {
        return mask.clone();
    }

    /** The frames of an Initial packet; {@link MalformedPacketException} where it was not made with these keys. */
    byte[] open(Packet p) {
        byte[] d = Arrays.copyOfRange(p.datagram(), p.from(), p.to());
        int at = p.packetNumberAt() - p.from();
        if (d.length < at + 4 + SAMPLE) {
            throw new MalformedPacketException("an Initial too short to be sampled");
        }
        try {
            byte[] m = headerMask(d, at);
            d[0] ^= (byte) (m[0] & 0x0F);
            int numberBytes = (d[0] & 3) + 1;
            long number = 0;
            for (int i = 0; i < numberBytes; i++) {
                d[at + i] ^= m[1 + i];
                number = number << 8 | (d[at + i] & 0xFF);
            }
            Cipher c = cipher(Cipher.DECRYPT_MODE, number);
            c.updateAAD(d, 0, at + numberBytes);
            return c.doFinal(d, at + numberBytes, d.length - at - numberBytes);
        } catch (GeneralSecurityException e) {
            throw new MalformedPacketException("an Initial made with other keys");
        }
    }

    /** An Initial packet with these frames. */
    byte[] seal(ConnectionId destination, ConnectionId source, int number, byte[] frames) {
        return seal(destination, source, new byte[0], number, frames);
    }

    /** The same with a token, of fewer than 2^14 bytes. */
    byte[] seal(ConnectionId destination, ConnectionId source, byte[] token, int number, byte[] frames) {
        int length = 4 + frames.length + TAG;
        ByteBuffer out =
                ByteBuffer.allocate(1 + 4 + 2 + destination.length() + source.length() + 2 + token.length + 2 + length);
        out.put((byte) (0xC3 | version.bits(Packet.Type.INITIAL) << 4)).putInt((int) version.number);
        out.put((byte) destination.length()).put(destination.bytes());
        out.put((byte) source.length()).put(source.bytes());
        Packet.number(out, token.length);
        out.put(token);
        Packet.number(out, length);
        int at = out.position();
        out.putInt(number);
        byte[] d = out.array();
        try {
            Cipher c = cipher(Cipher.ENCRYPT_MODE, number);
            c.updateAAD(d, 0, at + 4);
            c.doFinal(frames, 0, frames.length, d, at + 4);
            byte[] m = headerMask(d, at);
            d[0] ^= (byte) (m[0] & 0x0F);
            for (int i = 0; i < 4; i++) {
                d[at + i] ^= m[1 + i];
            }
            return d;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private byte[] headerMask(byte[] packet, int numberAt) throws GeneralSecurityException {
        Cipher c = Cipher.getInstance("AES/ECB/NoPadding");
        c.init(Cipher.ENCRYPT_MODE, new SecretKeySpec(mask, "AES"));
        return c.doFinal(packet, numberAt + 4, SAMPLE);
    }

    private Cipher cipher(int mode, long number) throws GeneralSecurityException {
        byte[] nonce = iv.clone();
        for (int i = 0; i < 8; i++) {
            nonce[nonce.length - 1 - i] ^= (byte) (number >>> (8 * i));
        }
        Cipher c = Cipher.getInstance("AES/GCM/NoPadding");
        c.init(mode, new SecretKeySpec(key, "AES"), new GCMParameterSpec(8 * TAG, nonce));
        return c;
    }

    private static byte[] hmac(byte[] key, byte[]... parts) throws GeneralSecurityException {
        Mac mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(key, "HmacSHA256"));
        for (byte[] part : parts) {
            mac.update(part);
        }
        return mac.doFinal();
    }

    /** HKDF-Expand-Label of TLS 1.3 for at most 32 bytes. */
    private static byte[] expand(byte[] secret, String label, int length) throws GeneralSecurityException {
        byte[] full = ("tls13 " + label).getBytes(StandardCharsets.US_ASCII);
        ByteBuffer info = ByteBuffer.allocate(4 + full.length + 1);
        info.putShort((short) length)
                .put((byte) full.length)
                .put(full)
                .put((byte) 0)
                .put((byte) 1);
        return Arrays.copyOf(hmac(secret, info.array()), length);
    }
}
