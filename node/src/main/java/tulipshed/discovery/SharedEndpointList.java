package tulipshed.discovery;

import java.net.InetSocketAddress;

/**
 * The endpoint list that one process of a node shares with the other during a hot restart.
 *
 * @param discovery the address of the discovery service that numbers the versions, in the form {@code host:port}
 * @param isReceived whether a process of the node received the list from discovery, so that it is more than a list of
 *     the configuration
 * @param list the full list
 */
record SharedEndpointList(String discovery, boolean isReceived, EndpointListUpdate list) {
    /** Returns whether the list is from the discovery service at that address. */
    boolean isFrom(InetSocketAddress address) {
        return discovery.equals(SharedEndpointListFormat.addressText(address));
    }
}
