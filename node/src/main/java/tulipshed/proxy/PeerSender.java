package tulipshed.proxy;

/** Sends datagrams to the other nodes of the tier; they may come late or not at all, and nobody is told. */
public interface PeerSender {
    /** Sends 1 to 256 bytes to the node of this number, or to all others with {@code Actions.ALL_PEERS}. */
    void send(int peer, byte[] body);
}
