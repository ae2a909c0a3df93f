package tulipshed.quic;

import java.util.Arrays;
import java.util.HexFormat;

/** A connection id: up to 20 bytes that mean something only to whoever chose them. */
final class ConnectionId {
    /** The longest that version 1 of QUIC allows. */
    static final int LONGEST = 20;
    private final byte[] bytes;

    ConnectionId(byte[] bytes) {
        this.bytes = bytes.clone();
    }

    byte[] bytes() {
        return bytes.clone();
    }

    int length() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConnectionId id && Arrays.equals(bytes, id.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes);
    }
}
