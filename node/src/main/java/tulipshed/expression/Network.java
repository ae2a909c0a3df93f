package tulipshed.expression;

import java.net.InetAddress;
import java.net.UnknownHostException;

/** Addresses with the same first bits, as CIDR writes them (RFC 4632 section 3.1, RFC 4291 section 2.3). */
public record Network(long high, long low, int bits, String text) {
    private static final int MAPPED = 96;

    /** Reads {@code 10.0.0.0/8} or {@code fd00::/8}; without a length, the one address; null where it is neither. */
    public static Network parse(String text) {
        int slash = text.indexOf('/');
        String host = slash < 0 ? text : text.substring(0, slash);
        boolean four = host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
        if (!four && !host.matches("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")) {
            return null;
        }
        try {
            byte[] bytes = InetAddress.getByName(host).getAddress();
            String length = slash < 0 ? (four ? "32" : "128") : text.substring(slash + 1);
            // A mapped address that is written as IPv6 has four bytes here, and yet a length of up to 128.
            if (!length.matches("[0-9]{1,3}") || Integer.parseInt(length) > (four ? 32 : 128)) {
                return null;
            }
            int bits = Integer.parseInt(length) + (four ? MAPPED : 0);
            long high = high(bytes) & mask(bits);
            long low = low(bytes) & mask(bits - 64);
            return new Network(high, low, bits, text);
        } catch (UnknownHostException e) {
            return null;
        }
    }

    /** The upper 64 bits of an address of 4 or 16 bytes. */
    public static long high(byte[] address) {
        return address.length == 4 ? 0 : bits(address, 0, 8);
    }

    /** The lower 64 bits of an address of 4 or 16 bytes. */
    public static long low(byte[] address) {
        return address.length == 4 ? 0xFFFF_0000_0000L | bits(address, 0, 4) : bits(address, 8, 16);
    }

    boolean contains(long highBits, long lowBits) {
        return (highBits & mask(bits)) == high && (lowBits & mask(bits - 64)) == low;
    }

    private static long mask(int bits) {
        return bits <= 0 ? 0 : bits >= 64 ? -1 : -1L << (64 - bits);
    }

    private static long bits(byte[] bytes, int from, int to) {
        long value = 0;
        for (int i = from; i < to; i++) {
            value = value << 8 | (bytes[i] & 0xFF);
        }
        return value;
    }

    @Override
    public String toString() {
        return text;
    }
}
