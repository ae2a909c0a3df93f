package tulipshed.quic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import tulipshed.transport.UdpSocket;

/** One UDP socket towards endpoints, with a binding for one flow of each endpoint. */
final class UpstreamSocket {
    private static final int ANY_PORT = 0;

    private final Map<InetSocketAddress, SocketBinding> bindings = new HashMap<>();
    private final UdpSocket socket;

    /** Opens UDP sockets, as the event loop does. */
    interface Opener {
        /** A socket at that address. */
        UdpSocket open(InetSocketAddress address, ByteBuffer scratch, UdpSocket.Receiver receiver) throws IOException;
    }

    /** Opens a socket at any port of the local address. */
    UpstreamSocket(Opener opener, InetAddress address, ByteBuffer scratch, QuicMetrics metrics) throws IOException {
        socket = opener.open(new InetSocketAddress(address, ANY_PORT), scratch, (from, datagram) -> {
            SocketBinding binding = bindings.get(from);
            if (binding == null) {
                metrics.count(QuicCounter.DROPPED_UNKNOWN_SOURCE);
            } else {
                binding.receive(datagram);
            }
        });
    }

    /** Sends a datagram to an endpoint. */
    void send(InetSocketAddress endpoint, byte[] datagram) {
        socket.send(endpoint, datagram);
    }

    /** Passes the datagrams of an endpoint to a binding. */
    void bind(InetSocketAddress endpoint, SocketBinding binding) {
        bindings.put(endpoint, binding);
    }

    /** Passes the datagrams of an endpoint to this binding no longer. */
    void unbind(InetSocketAddress endpoint, SocketBinding binding) {
        bindings.remove(endpoint, binding);
    }

    /** Closes the socket. */
    void close() {
        socket.close();
    }
}
