package tulipshed.expression;

import java.net.InetAddress;
import java.net.UnknownHostException;

/**
 * A network of IPv6 addresses, or of IPv4 addresses mapped to IPv6, in CIDR notation (RFC 4632 section 3.1, RFC 4291
 * section 2.3).
 *
 * @param high the upper 64 bits of the prefix
 * @param low the lower 64 bits of the prefix
 * @param bits the length of the prefix as an IPv6 network, from 0 to 128
 * @param text the notation that it was read from
 */
public record Network(long high, long low, int bits, String text) {
    /** The length of the prefix of IPv4 addresses mapped to IPv6. */
    private static final int MAPPED_PREFIX_BITS = 96;

    private static final long MAPPED_PREFIX = 0xFFFF_0000_0000L;
    private static final int IPV4_BITS = 32;
    private static final int IPV6_BITS = 128;
    private static final String IPV4_ADDRESS = "[0-9]{1,3}(\\.[0-9]{1,3}){3}";
    private static final String IPV6_ADDRESS = "[0-9a-fA-F:.]*:[0-9a-fA-F:.]*";

    /** Reads {@code 10.0.0.0/8}, {@code fd00::/8}, or a single address without a length; null for other texts. */
    public static Network parse(String text) {
        int slash = text.indexOf('/');
        String host = slash < 0 ? text : text.substring(0, slash);
        boolean isIpv4 = host.matches(IPV4_ADDRESS);
        if (!isIpv4 && !host.matches(IPV6_ADDRESS)) {
            return null;
        }
        // An IPv4 address that is written mapped has four bytes below, and yet a length of up to 128.
        int maxLength = isIpv4 ? IPV4_BITS : IPV6_BITS;
        String length = slash < 0 ? Integer.toString(maxLength) : text.substring(slash + 1);
        try {
            byte[] bytes = InetAddress.getByName(host).getAddress();
            if (!length.matches("[0-9]{1,3}") || Integer.parseInt(length) > maxLength) {
                return null;
            }
            int bits = Integer.parseInt(length) + (isIpv4 ? MAPPED_PREFIX_BITS : 0);
            return new Network(high(bytes) & highMask(bits), low(bytes) & lowMask(bits), bits, text);
        } catch (UnknownHostException e) {
            return null;
        }
    }

    /** Returns the upper 64 bits of an address of 4 or 16 bytes. */
    public static long high(byte[] address) {
        return address.length == 4 ? 0 : toLong(address, 0, 8);
    }

    /** Returns the lower 64 bits of an address of 4 or 16 bytes. */
    public static long low(byte[] address) {
        return address.length == 4 ? MAPPED_PREFIX | toLong(address, 0, 4) : toLong(address, 8, 16);
    }

    boolean contains(long highBits, long lowBits) {
        return (highBits & highMask(bits)) == high && (lowBits & lowMask(bits)) == low;
    }

    private static long highMask(int bits) {
        return mask(bits);
    }

    private static long lowMask(int bits) {
        return mask(bits - Long.SIZE);
    }

    /** Returns a long whose upper {@code bits} bits are set; 0 and 64 are the limits. */
    private static long mask(int bits) {
        if (bits <= 0) {
            return 0;
        }
        return bits >= Long.SIZE ? -1 : -1L << (Long.SIZE - bits);
    }

    private static long toLong(byte[] bytes, int from, int to) {
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
