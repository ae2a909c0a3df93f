package tulipshed.routing;

import java.net.InetAddress;
import java.util.Map;
import tulipshed.expression.Network;

/**
 * Where a transaction came from: the front that took it, its client's address as the 128 bits of IPv6, and the further
 * figures that it carried, by their names, as String, Long, Double or Boolean.
 */
public record RequestOrigin(String front, long sourceHigh, long sourceLow, Map<String, Object> figures) {
    /** Where nothing is known. */
    public static final RequestOrigin UNKNOWN = new RequestOrigin("", 0, 0, Map.of());

    /** From that front and address. */
    public static RequestOrigin of(String front, InetAddress source, Map<String, Object> figures) {
        byte[] bytes = source.getAddress();
        return new RequestOrigin(front, Network.high(bytes), Network.low(bytes), figures);
    }
}
