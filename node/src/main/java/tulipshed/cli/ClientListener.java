package tulipshed.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.lineprotocol.LineProtocolFrontend;
import tulipshed.transport.Acceptor;
import tulipshed.transport.XnioEventLoop;

/**
 * The listener for line-protocol clients and its drain state. Confined to the event-loop thread, except for {@link
 * #isDraining} and, once the node has started, {@link #address}.
 */
final class ClientListener {
    /** Null before {@link #open} and after {@link #drainAndClose}. */
    private Acceptor acceptor;

    private volatile boolean draining;

    /** Starts to accept clients on the configured address. */
    void open(XnioEventLoop loop, NodeConfig config, Limits limits, LineProtocolFrontend frontend) throws IOException {
        acceptor = loop.listen(config.listen(), limits.maxClientConnections(), frontend::accept);
    }

    /** Returns the address that clients connect to; the listener must be open. */
    InetSocketAddress address() {
        return acceptor.address();
    }

    /** Returns whether the listener accepts connections. */
    boolean isOpen() {
        return acceptor != null;
    }

    /** Returns whether the node is ready for new clients: it listens and is not shutting down. */
    boolean isReady() {
        return acceptor != null && !draining;
    }

    /** Marks the node as shutting down; the listener still accepts new connections. */
    void startDraining() {
        draining = true;
    }

    /** Returns whether the node is shutting down. Safe for use by any thread. */
    boolean isDraining() {
        return draining;
    }

    /** Accepts the connections that the kernel has queued, then stops listening; the listener must be open. */
    void drainAndClose() {
        acceptor.drainAndClose();
        acceptor = null;
    }
}
