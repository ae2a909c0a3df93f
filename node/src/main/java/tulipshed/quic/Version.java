package tulipshed.quic;

import java.util.HexFormat;

/** The supported versions: 1 (RFC 9000, RFC 9001) and 2 (RFC 9369), which differ in constants alone. */
enum Version {
    V1(1, "38762cf7f55934b34d179ae6a4c80cadccbb7f0a", "quic ", new Packet.Type[] {
        Packet.Type.INITIAL, Packet.Type.ZERO_RTT, Packet.Type.HANDSHAKE, Packet.Type.RETRY
    }),
    V2(0x6b3343cfL, "0dede3def700a6db819381be6e269dcbf9bd2ed9", "quicv2 ", new Packet.Type[] {
        Packet.Type.RETRY, Packet.Type.INITIAL, Packet.Type.ZERO_RTT, Packet.Type.HANDSHAKE
    });

    /** A reserved version, of the form 0x?a?a?a?a (RFC 9000 section 15). */
    static final long GREASE = 0x5a6a7a8aL;

    /** The version field of long headers. */
    final long number;
    /** The salt of the initial secret (RFC 9001 section 5.2, RFC 9369 section 3.3.1). */
    @SuppressWarnings("ImmutableEnumChecker") // private, and handed out as copies only
    private final byte[] salt;
    /** The prefix of key derivation labels (RFC 9369 section 3.3.2). */
    final String label;

    @SuppressWarnings("ImmutableEnumChecker") // private, and never written
    private final Packet.Type[] types;

    Version(long number, String salt, String label, Packet.Type[] types) {
        this.number = number;
        this.salt = HexFormat.of().parseHex(salt);
        this.label = label;
        this.types = types;
    }

    /** A copy of the salt of the initial secret. */
    byte[] salt() {
        return salt.clone();
    }

    /** The packet type of the two type bits of a long header (RFC 9369 section 3.2). */
    Packet.Type type(int bits) {
        return types[bits];
    }

    /** The two type bits of a packet type. */
    int bits(Packet.Type type) {
        return java.util.Arrays.asList(types).indexOf(type);
    }

    /** The version with this number; null where it is not supported. */
    static Version of(long number) {
        return number == V1.number ? V1 : number == V2.number ? V2 : null;
    }
}
