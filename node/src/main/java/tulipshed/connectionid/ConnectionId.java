package tulipshed.connectionid;

import java.util.Arrays;
import java.util.HexFormat;

/**
 * A connection ID: up to 20 bytes, which are opaque to all but the endpoint that issued them (RFC 9000 sections 5.1 and 17.2).
 * Connection IDs are ordered by their bytes, so that a hash table of IDs that an attacker chose to collide is still searched in
 * logarithmic time. Immutable.
 */
public final class ConnectionId implements Comparable<ConnectionId> {
    /** The length of the longest connection ID of versions 1 and 2 of QUIC, in bytes. */
    public static final int LONGEST = 20;

    private final byte[] bytes;
    private final int hash;

    /** A connection ID of these bytes, which are copied. */
    public ConnectionId(byte[] bytes) {
        this(bytes, 0, bytes.length);
    }

    /** A connection ID of {@code length} bytes from offset {@code from} on, which are copied. */
    public ConnectionId(byte[] bytes, int from, int length) {
        this.bytes = Arrays.copyOfRange(bytes, from, from + length);
        this.hash = Arrays.hashCode(this.bytes);
    }

    /** A copy of the bytes. */
    public byte[] bytes() {
        return bytes.clone();
    }

    /** The first byte, from 0 to 255; the connection ID must not be empty. */
    public int first() {
        return bytes[0] & 0xFF;
    }

    /** The number of bytes. */
    public int length() {
        return bytes.length;
    }

    @Override
    public int compareTo(ConnectionId other) {
        return Arrays.compare(bytes, other.bytes);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConnectionId id && hash == id.hash && Arrays.equals(bytes, id.bytes);
    }

    @Override
    public int hashCode() {
        return hash;
    }

    /** The bytes in hexadecimal. */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes);
    }
}
