package tulipshed.cli;

import tulipshed.config.NodeConfig;
import tulipshed.peer.PeerSocket;
import tulipshed.proxy.ProxyCore;
import tulipshed.transport.XnioEventLoop;

/**
 * The peer messages of a node. Their socket and metrics do not exist until a configuration enables them. Confined to
 * the event-loop thread.
 */
final class PeerMessaging {
    private final NodeOptions options;
    private final XnioEventLoop loop;
    private final ProxyCore core;

    /** Null until a configuration enables the messages; then kept, even if disabled again, because of its counters. */
    private PeerSocket socket;

    PeerMessaging(NodeOptions options, XnioEventLoop loop, ProxyCore core) {
        this.options = options;
        this.loop = loop;
        this.core = core;
    }

    /** Applies a configuration; one without peers closes the socket. {@link #retryBind} opens the socket. */
    void configure(NodeConfig config) {
        if (socket == null && config.peers() != null) {
            socket = new PeerSocket(options.clock(), options.limits(), loop, core, options.log());
        }
        if (socket != null) {
            socket.configure(config.peers());
        }
    }

    /** Binds the socket if it is enabled and its address is free; a failure is retried at the next call. */
    void retryBind() {
        if (socket != null) {
            socket.retryBind();
        }
    }

    /** Returns whether the socket is open. */
    boolean isOpen() {
        return socket != null && socket.isOpen();
    }

    /** Closes the socket if it is open. */
    void close() {
        if (socket != null) {
            socket.close();
        }
    }
}
