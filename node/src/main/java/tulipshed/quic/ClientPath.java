package tulipshed.quic;

import java.net.InetSocketAddress;
import tulipshed.transport.UdpSocket;

/**
 * One way by which a client is heard: its address, the listener that hears it, and, once something goes to its member, a place
 * on a socket towards it. A client that merely gets another address from its network keeps its path, and its member sees
 * nothing; one that goes to another network by itself takes a new id for it and gets a second path, which its member sees and
 * proves as one (RFC 9000 section 9).
 */
final class ClientPath {
    private final QuicSession session;
    private UdpSocket listener;
    private InetSocketAddress client;
    private UpstreamFlow side;
    private double heardMs;

    ClientPath(QuicSession session, UdpSocket listener, InetSocketAddress client, double nowMs) {
        this.session = session;
        this.listener = listener;
        this.client = client;
        this.heardMs = nowMs;
    }

    QuicSession session() {
        return session;
    }

    boolean isAt(UdpSocket otherListener, InetSocketAddress other) {
        return listener == otherListener && client.equals(other);
    }

    ConnectionTable.Way way() {
        return new ConnectionTable.Way(listener, client);
    }

    InetSocketAddress client() {
        return client;
    }

    /** The client is heard elsewhere now. */
    void move(UdpSocket changedListener, InetSocketAddress changed) {
        listener = changedListener;
        client = changed;
    }

    void heard(double nowMs) {
        heardMs = nowMs;
    }

    double heardMs() {
        return heardMs;
    }

    /** Its place towards the member; null where it has none. */
    UpstreamFlow side() {
        return side;
    }

    /** Takes a place, in place of the one it had. */
    void side(UpstreamFlow changed) {
        if (side != null) {
            side.close();
        }
        side = changed;
    }

    /** To the client. */
    void send(byte[] datagram) {
        listener.send(client, datagram);
    }
}
