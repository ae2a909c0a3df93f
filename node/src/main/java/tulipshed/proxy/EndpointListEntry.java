package tulipshed.proxy;

import java.net.InetSocketAddress;
import tulipshed.decision.api.EndpointInfo;

/**
 * One entry of the endpoint list.
 *
 * @param info the description of the endpoint for the decision module
 * @param address the address at which the endpoint accepts connections; null in an update that does not change it
 */
public record EndpointListEntry(EndpointInfo info, InetSocketAddress address) {}
