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
 * The packet protection keys of Initial packets in one direction (RFC 9001 section 5.2). They follow from the destination ID of
 * the client's first Initial, so anyone on the path can read and create such packets: they authenticate nobody.
 */
final class InitialKeys {
    private static final int TAG = 16;
    private static final int SAMPLE = 16;

    /** The length of the packet numbers that are written. */
    private static final int NUMBER_BYTES = 4;

    private final Version version;
    private final byte[] key;
    private final byte[] iv;
    private final byte[] headerKey;

    private InitialKeys(Version version, byte[] secret) throws GeneralSecurityException {
        this.version = version;
        key = expand(secret, version.label + "key", 16);
        iv = expand(secret, version.label + "iv", 12);
        headerKey = expand(secret, version.label + "hp", 16);
    }

    /** The keys of packets of the client. */
    static InitialKeys client(Version version, ConnectionId firstDestination) {
        return of(version, firstDestination, "client in");
    }

    /** The keys of packets of the server. */
    static InitialKeys server(Version version, ConnectionId firstDestination) {
        return of(version, firstDestination, "server in");
    }

    private static InitialKeys of(Version version, ConnectionId destination, String label) {
        try {
            return new InitialKeys(version, expand(hmac(version.salt(), destination.bytes()), label, 32));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the virtual machine lacks an algorithm of QUIC", e);
        }
    }

    /** A copy of the AEAD key; for tests. */
    byte[] key() {
        return key.clone();
    }

    /** A copy of the AEAD initialization vector; for tests. */
    byte[] iv() {
        return iv.clone();
    }

    /** A copy of the header protection key; for tests. */
    byte[] headerKey() {
        return headerKey.clone();
    }

    /**
     * Removes the protection of an Initial packet, and returns its frames.
     *
     * @throws MalformedPacketException if the packet was not protected with these keys
     */
    byte[] open(Packet initial) {
        byte[] packet = Arrays.copyOfRange(initial.datagram(), initial.start(), initial.end());
        int numberOffset = initial.packetNumberOffset() - initial.start();
        if (packet.length < numberOffset + NUMBER_BYTES + SAMPLE) {
            throw new MalformedPacketException(PacketDefect.INITIAL_TOO_SHORT);
        }
        try {
            byte[] mask = headerMask(packet, numberOffset);
            packet[0] ^= (byte) (mask[0] & 0x0F);
            int numberBytes = (packet[0] & 3) + 1;
            long number = 0;
            for (int i = 0; i < numberBytes; i++) {
                packet[numberOffset + i] ^= mask[1 + i];
                number = number << 8 | (packet[numberOffset + i] & 0xFF);
            }
            Cipher cipher = cipher(Cipher.DECRYPT_MODE, number);
            int headerBytes = numberOffset + numberBytes;
            cipher.updateAAD(packet, 0, headerBytes);
            return cipher.doFinal(packet, headerBytes, packet.length - headerBytes);
        } catch (GeneralSecurityException e) {
            throw new MalformedPacketException(PacketDefect.AUTHENTICATION_FAILED);
        }
    }

    /** A protected Initial packet with these frames. */
    byte[] seal(ConnectionId destination, ConnectionId source, int number, byte[] frames) {
        return seal(destination, source, new byte[0], number, frames);
    }

    /** The same with a token, of fewer than 2^14 bytes. */
    byte[] seal(ConnectionId destination, ConnectionId source, byte[] token, int number, byte[] frames) {
        int length = NUMBER_BYTES + frames.length + TAG;
        ByteBuffer out =
                ByteBuffer.allocate(1 + 4 + 2 + destination.length() + source.length() + 2 + token.length + 2 + length);
        out.put((byte) (0xC3 | version.bits(Packet.Type.INITIAL) << 4)).putInt((int) version.number);
        out.put((byte) destination.length()).put(destination.bytes());
        out.put((byte) source.length()).put(source.bytes());
        VariableLengthInteger.writeTwoBytes(out, token.length);
        out.put(token);
        VariableLengthInteger.writeTwoBytes(out, length);
        int numberOffset = out.position();
        out.putInt(number);
        byte[] packet = out.array();
        try {
            Cipher cipher = cipher(Cipher.ENCRYPT_MODE, number);
            int headerBytes = numberOffset + NUMBER_BYTES;
            cipher.updateAAD(packet, 0, headerBytes);
            cipher.doFinal(frames, 0, frames.length, packet, headerBytes);
            byte[] mask = headerMask(packet, numberOffset);
            packet[0] ^= (byte) (mask[0] & 0x0F);
            for (int i = 0; i < NUMBER_BYTES; i++) {
                packet[numberOffset + i] ^= mask[1 + i];
            }
            return packet;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The header protection mask (RFC 9001 section 5.4.3). */
    private byte[] headerMask(byte[] packet, int numberOffset) throws GeneralSecurityException {
        Cipher cipher = Cipher.getInstance("AES/ECB/NoPadding");
        cipher.init(Cipher.ENCRYPT_MODE, new SecretKeySpec(headerKey, "AES"));
        return cipher.doFinal(packet, numberOffset + NUMBER_BYTES, SAMPLE);
    }

    /** The AEAD with the nonce of a packet number (RFC 9001 section 5.3). */
    private Cipher cipher(int mode, long number) throws GeneralSecurityException {
        byte[] nonce = iv.clone();
        for (int i = 0; i < 8; i++) {
            nonce[nonce.length - 1 - i] ^= (byte) (number >>> (8 * i));
        }
        Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
        cipher.init(mode, new SecretKeySpec(key, "AES"), new GCMParameterSpec(8 * TAG, nonce));
        return cipher;
    }

    private static byte[] hmac(byte[] key, byte[]... parts) throws GeneralSecurityException {
        Mac mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(key, "HmacSHA256"));
        for (byte[] part : parts) {
            mac.update(part);
        }
        return mac.doFinal();
    }

    /** HKDF-Expand-Label (RFC 8446 section 7.1) for at most 32 bytes. */
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
