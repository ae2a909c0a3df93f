package tulipshed.routing;

import java.net.InetAddress;
import tulipshed.expression.Network;

/**
 * Where a request came from.
 *
 * @param frontend the name of the frontend that accepted it, empty where it is unknown
 * @param sourceHigh the upper 64 bits of the client's IPv6 address, or of its IPv4 address mapped to IPv6
 * @param sourceLow the lower 64 bits of that address
 * @param additional the attributes that the request carries besides those that every request has
 */
public record RequestOrigin(String frontend, long sourceHigh, long sourceLow, AdditionalAttributes additional) {
    /** The origin of a request of which nothing is known. */
    public static final RequestOrigin UNKNOWN = new RequestOrigin("", 0, 0, AdditionalAttributes.NONE);

    /** Returns the origin of a request that a frontend accepted from that address. */
    public static RequestOrigin of(String frontend, InetAddress source, AdditionalAttributes additional) {
        byte[] bytes = source.getAddress();
        return new RequestOrigin(frontend, Network.high(bytes), Network.low(bytes), additional);
    }
}
