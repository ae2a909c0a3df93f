package tulipshed.quic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.transport.ProtocolErrorLog;
import tulipshed.transport.XnioEventLoop;

/**
 * The node's UDP sockets towards endpoints, each shared by one flow of every endpoint as {@link UpstreamPortAllocator} assigns
 * them. Confined to the event-loop thread.
 */
final class UpstreamSocketPool {
    /** The attempts in a row to open a socket, as a shortage of descriptors may be over at the next one. */
    static final int MAX_OPEN_ATTEMPTS = 5;

    private final XnioEventLoop loop;
    private final InetAddress address;
    private final ByteBuffer scratch;
    private final QuicMetrics metrics;
    private final ProtocolErrorLog openFailures;
    private final UpstreamPortAllocator allocator;
    private final Map<Integer, UpstreamSocket> sockets = new HashMap<>();
    private UpstreamSocket.Opener opener;

    /** A pool without sockets; they are opened at this local address. */
    UpstreamSocketPool(
            XnioEventLoop loop,
            InetAddress address,
            ByteBuffer scratch,
            QuicMetrics metrics,
            Limits limits,
            NodeLog log) {
        this.loop = loop;
        this.address = address;
        this.scratch = scratch;
        this.metrics = metrics;
        openFailures = new ProtocolErrorLog("quic", "cannot open an upstream socket", limits, log);
        allocator = new UpstreamPortAllocator(limits.quic().upstreamSocketReuseDelayMs());
        opener = loop::bindUdp;
    }

    /** Replaces what opens sockets; for tests. */
    void setOpener(UpstreamSocket.Opener replacement) {
        opener = replacement;
    }

    /** Binds one more flow of an endpoint to a socket; null where no socket can be opened for it. */
    SocketBinding bind(InetSocketAddress endpoint, double nowMs, Consumer<byte[]> receiver) {
        int index = allocator.acquire(endpoint, nowMs, loop::hasCapacityForUpstream);
        if (index < 0) {
            return null;
        }
        UpstreamSocket socket = sockets.get(index);
        if (socket == null) {
            socket = openSocket();
            if (socket == null) {
                allocator.release(endpoint, index, nowMs);
                return null;
            }
            sockets.put(index, socket);
        }
        SocketBinding binding = new SocketBinding(allocator, index, socket, endpoint, receiver);
        socket.bind(endpoint, binding);
        return binding;
    }

    /** A new socket; null where none of a few attempts in a row succeeds. */
    private UpstreamSocket openSocket() {
        for (int attempt = 0; attempt < MAX_OPEN_ATTEMPTS; attempt++) {
            try {
                return new UpstreamSocket(opener, address, scratch, metrics);
            } catch (IOException e) {
                openFailures.record(e.getMessage());
            }
        }
        return null;
    }

    /** Closes unused sockets, and logs failures to open one. */
    void sweep(double nowMs) {
        openFailures.flush(nowMs);
        for (int index : allocator.closeUnused(nowMs)) {
            UpstreamSocket socket = sockets.remove(index);
            if (socket != null) {
                socket.close();
            }
        }
    }

    /** How many sockets are open. */
    int count() {
        return sockets.size();
    }
}
