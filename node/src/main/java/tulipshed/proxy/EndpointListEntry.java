package tulipshed.proxy;

import java.net.InetSocketAddress;
import tulipshed.decision.BalancerApi.EndpointInfo;

/** One entry of the list of pool members: what the module is told of it, and where it listens. */
public record EndpointListEntry(EndpointInfo info, InetSocketAddress address) {}
