package tulipshed.routing;

import java.net.InetAddress;
import tulipshed.expression.Network;

/**
 * The origin of a request: its frontend, its source address and its additional attributes.
 *
 * @param frontend the name of the frontend that accepted it, empty if unknown
 * @param sourceHigh the upper 64 bits of the client's IPv6 address, or of its IPv4 address mapped to IPv6
 * @param sourceLow the lower 64 bits of that address
 * @param additional the attributes in addition to those of every request
 */
public record RequestOrigin(String frontend, long sourceHigh, long sourceLow, AdditionalAttributes additional) {
    /** An unknown origin. */
    public static final RequestOrigin UNKNOWN = new RequestOrigin("", 0, 0, AdditionalAttributes.NONE);

    /** Returns the origin of a request that the frontend accepted from the source address. */
    public static RequestOrigin of(String frontend, InetAddress source, AdditionalAttributes additional) {
        byte[] bytes = source.getAddress();
        return new RequestOrigin(frontend, Network.high(bytes), Network.low(bytes), additional);
    }
}
