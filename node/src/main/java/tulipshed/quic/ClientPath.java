package tulipshed.quic;

import java.net.InetSocketAddress;
import tulipshed.transport.UdpSocket;

/**
 * One network path of a client, with its flow to the endpoint. A NAT rebinding changes the path's address, and the endpoint
 * notices nothing. A client that migrates uses a new connection ID and gets a second path, which the endpoint sees and
 * validates as such (RFC 9000 section 9).
 */
final class ClientPath {
    private final QuicSession session;
    private PathAddress address;

    /** Null while nothing was sent to the endpoint by this path, and after it was closed. */
    private UpstreamFlow flow;

    private double lastReceivedMs;

    /** A path without a flow, on which a datagram has just been received. */
    ClientPath(QuicSession session, UdpSocket listener, InetSocketAddress client, double nowMs) {
        this.session = session;
        address = new PathAddress(listener, client);
        lastReceivedMs = nowMs;
    }

    /** The connection of the path. */
    QuicSession session() {
        return session;
    }

    /** Whether the path has this address. */
    boolean isAt(UdpSocket listener, InetSocketAddress client) {
        return address.listener() == listener && address.client().equals(client);
    }

    /** The address of the path. */
    PathAddress address() {
        return address;
    }

    /** Changes the address. */
    void rebind(UdpSocket listener, InetSocketAddress client) {
        address = new PathAddress(listener, client);
    }

    /** A datagram was received on the path. */
    void received(double nowMs) {
        lastReceivedMs = nowMs;
    }

    /** When a datagram was last received on the path. */
    double lastReceivedMs() {
        return lastReceivedMs;
    }

    /** The flow to the endpoint; null where there is none. */
    UpstreamFlow flow() {
        return flow;
    }

    /** Closes the flow, if there is one, and replaces it. */
    void replaceFlow(UpstreamFlow replacement) {
        if (flow != null) {
            flow.close();
        }
        flow = replacement;
    }

    /** Closes the flow, if there is one. */
    void closeFlow() {
        replaceFlow(null);
    }

    /** Sends a datagram to the client. */
    void send(byte[] datagram) {
        address.listener().send(address.client(), datagram);
    }
}
