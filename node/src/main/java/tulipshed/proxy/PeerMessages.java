package tulipshed.proxy;

/**
 * Carries the datagrams of the decision module to and from the other nodes of the tier. Confined to the event-loop thread.
 */
final class PeerMessages implements PeerSender {
    private final ActiveSettings settings;
    private final EventBatch events;
    private PeerSender sender = (peer, body) -> {};

    PeerMessages(CoreContext context) {
        this.settings = context.settings();
        this.events = context.events();
    }

    /** Sets what sends datagrams; without one they are dropped. */
    void setSender(PeerSender datagramSender) {
        sender = datagramSender;
    }

    /** Sends a datagram, unless the settings allow none. */
    @Override
    public void send(int peer, byte[] body) {
        if (settings.allowsPeerMessages()) {
            sender.send(peer, body);
        }
    }

    /** Hands a datagram of the node of that index to the decision module. */
    void received(int from, byte[] body) {
        events.add((balancer, nowMs, nowUs) -> balancer.peerMessageReceived(nowUs, from, body));
    }
}
