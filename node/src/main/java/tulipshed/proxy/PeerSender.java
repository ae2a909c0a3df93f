package tulipshed.proxy;

import tulipshed.decision.api.BalancerActions;

/**
 * Sends datagrams to the other nodes of the tier; they may be lost or arrive late. Called on the event-loop thread only.
 */
public interface PeerSender {
    /**
     * Sends a datagram.
     *
     * @param peer the index of the node, or {@link BalancerActions#ALL_PEERS}
     * @param body 1 to 256 bytes
     */
    void send(int peer, byte[] body);
}
