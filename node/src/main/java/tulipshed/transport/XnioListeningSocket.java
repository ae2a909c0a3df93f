package tulipshed.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Listening socket whose readiness is selected by XNIO's I/O thread, but whose connections this class accepts itself,
 * so that the node decides how to handle a failure. Accepting on the I/O thread instead of a separate thread also
 * prevents accepts from running ahead of the handling of connections.
 */
final class XnioListeningSocket implements ListeningSocket {
    private final XnioIoThread thread;
    private final ServerSocketChannel channel;
    private final AcceptingChannel<StreamConnection> server;

    /** Binds a socket to an address; accepts are suspended at first. */
    XnioListeningSocket(XnioWorker worker, InetSocketAddress address, int backlog, Runnable onAcceptable)
            throws IOException {
        thread = worker.getIoThread();
        channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, backlog);
            server = XnioInternals.newServer(worker, channel);
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
        server.getAcceptSetter().set(ready -> onAcceptable.run());
    }

    @Override
    public StreamConnection accept() throws IOException {
        SocketChannel accepted = channel.accept();
        if (accepted == null) {
            return null;
        }
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            return XnioInternals.newConnection(thread, accepted);
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(accepted);
            throw e;
        }
    }

    @Override
    public void resumeAccepts() {
        server.resumeAccepts();
    }

    @Override
    public void suspendAccepts() {
        server.suspendAccepts();
    }

    @Override
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
    }
}
