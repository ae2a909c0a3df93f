package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** The binding of one flow to an upstream socket, until it is released. */
final class SocketBinding {
    private final UpstreamPortAllocator allocator;
    private final int socketIndex;
    private final UpstreamSocket socket;
    private final InetSocketAddress endpoint;
    private final Consumer<byte[]> receiver;
    private boolean isReleased;

    /** A binding to a socket that {@code allocator} has assigned to a flow of the endpoint. */
    SocketBinding(
            UpstreamPortAllocator allocator,
            int socketIndex,
            UpstreamSocket socket,
            InetSocketAddress endpoint,
            Consumer<byte[]> receiver) {
        this.allocator = allocator;
        this.socketIndex = socketIndex;
        this.socket = socket;
        this.endpoint = endpoint;
        this.receiver = receiver;
    }

    /** Sends a datagram to the endpoint; does nothing once the binding is released. */
    void send(byte[] datagram) {
        if (!isReleased) {
            socket.send(endpoint, datagram);
        }
    }

    /** Takes a datagram of the endpoint. */
    void receive(byte[] datagram) {
        receiver.accept(datagram);
    }

    /** Releases the binding: nothing more is sent or received. */
    void release(double nowMs) {
        if (!isReleased) {
            isReleased = true;
            socket.unbind(endpoint, this);
            allocator.release(endpoint, socketIndex, nowMs);
        }
    }
}
