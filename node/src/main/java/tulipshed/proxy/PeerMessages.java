package tulipshed.proxy;

/**
 * Passes datagrams between the decision module and the other nodes of the tier. Confined to the event-loop thread.
 */
final class PeerMessages implements PeerSender {
    private final ActiveSettings settings;
    private final EventBatch events;
    private PeerSender sender = (peer, body) -> {};

    PeerMessages(CoreContext context) {
        this.settings = context.settings();
        this.events = context.events();
    }

    /** Sets the sender of datagrams; until one is set, datagrams are dropped. */
    void setSender(PeerSender datagramSender) {
        sender = datagramSender;
    }

    /** Sends a datagram, or drops it if the settings disable peer messages. */
    @Override
    public void send(int peer, byte[] body) {
        if (settings.allowsPeerMessages()) {
            sender.send(peer, body);
        }
    }

    /** Delivers a datagram from the node with index {@code from} to the decision module. */
    void received(int from, byte[] body) {
        events.add((balancer, nowMs, nowUs) -> balancer.peerMessageReceived(nowUs, from, body));
    }
}
