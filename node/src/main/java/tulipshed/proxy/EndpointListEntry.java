package tulipshed.proxy;

import java.net.InetSocketAddress;
import tulipshed.decision.api.EndpointInfo;

/**
 * One entry of the endpoint list.
 *
 * @param info what the decision module learns about the endpoint
 * @param address where the endpoint accepts connections; null in an update that leaves the known address as it is
 */
public record EndpointListEntry(EndpointInfo info, InetSocketAddress address) {}
