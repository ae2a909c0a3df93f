package tulipshed.quic;

import java.net.InetSocketAddress;
import tulipshed.transport.UdpSocket;

/**
 * The two ends of a network path of a client (RFC 9000 section 9).
 *
 * @param listener the node's socket that receives the client's datagrams and sends the answers
 * @param client the client's address
 */
record PathAddress(UdpSocket listener, InetSocketAddress client) {}
