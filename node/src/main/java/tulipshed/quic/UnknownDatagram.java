package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.List;
import tulipshed.transport.UdpSocket;

/**
 * A datagram whose destination connection ID leads to no connection.
 *
 * @param listener the socket that received it
 * @param from the address that sent it
 * @param packets the packets in it, at least one
 * @param route where the ID of a short header leads; null where it leads nowhere, and for long headers
 */
record UnknownDatagram(
        UdpSocket listener, InetSocketAddress from, byte[] bytes, List<Packet> packets, ConnectionIdRoute route) {

    /** The first packet. */
    Packet first() {
        return packets.get(0);
    }

    /** Sends an answer to where the datagram came from. */
    void answer(byte[] datagram) {
        listener.send(from, datagram);
    }
}
