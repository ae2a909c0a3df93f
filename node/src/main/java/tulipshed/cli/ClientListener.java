package tulipshed.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.lineprotocol.LineProtocolFrontend;
import tulipshed.transport.Acceptor;
import tulipshed.transport.XnioEventLoop;

/**
 * The listener for line-protocol clients, and whether the node takes new clients. Confined to the event-loop thread,
 * but for {@link #isDraining} and, once the node has started, {@link #address}.
 */
final class ClientListener {
    /** Null before {@link #open} and after {@link #drainAndClose}. */
    private Acceptor acceptor;

    private volatile boolean draining;

    /** Starts to accept clients at the configured address. */
    void open(XnioEventLoop loop, NodeConfig config, Limits limits, LineProtocolFrontend frontend) throws IOException {
        acceptor = loop.listen(config.listen(), limits.maxClientConnections(), frontend::accept);
    }

    /** Returns the address that clients connect to; the listener has to be open. */
    InetSocketAddress address() {
        return acceptor.address();
    }

    /** Returns whether the listener accepts connections. */
    boolean isOpen() {
        return acceptor != null;
    }

    /** Returns whether the node is ready for new clients: it listens and does not shut down. */
    boolean isReady() {
        return acceptor != null && !draining;
    }

    /** Marks the node as shutting down; the listener still accepts what arrives. */
    void startDraining() {
        draining = true;
    }

    /** Returns whether the node shuts down. Safe for use by any thread. */
    boolean isDraining() {
        return draining;
    }

    /** Hands over what was accepted and stops to listen; the listener has to be open. */
    void drainAndClose() {
        acceptor.drainAndClose();
        acceptor = null;
    }
}
