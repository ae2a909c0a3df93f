package tulipshed.proxy;

/** Sends datagrams to the other nodes of the tier; they may arrive late or never. Called on the event-loop thread only. */
public interface PeerSender {
    /**
     * Sends a datagram.
     *
     * @param peer the index of the node, or {@link tulipshed.decision.BalancerApi.Actions#ALL_PEERS}
     * @param body 1 to 256 bytes
     */
    void send(int peer, byte[] body);
}
