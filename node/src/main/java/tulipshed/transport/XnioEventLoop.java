package tulipshed.transport;

import java.io.IOException;
import java.net.Inet6Address;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;

/**
 * The node's event loop: the single I/O thread of XNIO, which runs the listeners of ready sockets and then the
 * submitted tasks. Opens sockets and counts their descriptors.
 *
 * <p>{@link #execute}, {@link #schedule} and {@link #stop} may be called on any thread, all other methods only on the
 * I/O thread once the node runs.
 */
public final class XnioEventLoop implements ConnectionLoop {
    /** Strong references, as the platform holds loggers only weakly and would lose their levels. */
    private static final List<java.util.logging.Logger> LIBRARY_LOGGERS =
            List.of(java.util.logging.Logger.getLogger("org.xnio"), java.util.logging.Logger.getLogger("org.jboss"));

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Limits limits;
    private final HotRestartState hotRestartState;
    private final DescriptorBudget descriptors;
    private final FailureLog acceptFailures;
    private volatile boolean stopped;

    /** Creates the loop of a process that has no hot-restart peer and logs nothing. */
    public XnioEventLoop(Limits limits) throws IOException {
        this(limits, new HotRestartState(), NodeLog.silent());
    }

    /** Creates the loop of a process that may share its node with another process during a hot restart. */
    public XnioEventLoop(Limits limits, HotRestartState hotRestartState, NodeLog log) throws IOException {
        this.limits = limits;
        this.hotRestartState = hotRestartState;
        descriptors = new DescriptorBudget(
                limits, hotRestartState, new DescriptorReserve(limits.sockets().emergencyDescriptors()));
        acceptFailures = new FailureLog(
                this, limits.lineProtocol().protocolErrorLogMs(), log.logger("transport")::warn, "accepting failed");
        // XNIO and its threading library each log a line at startup, whose formatting alone takes a tenth of the
        // startup.
        LIBRARY_LOGGERS.forEach(logger -> logger.setLevel(Level.WARNING));
        NoMBeanServerBuilder.install();
        Xnio xnio = Xnio.getInstance("nio", XnioEventLoop.class.getClassLoader());
        worker = xnio.createWorker(OptionMap.builder()
                .set(Options.WORKER_NAME, "tulipshed")
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .getMap());
        thread = worker.getIoThread();
    }

    @Override
    public void execute(Runnable task) {
        if (!stopped) {
            thread.execute(task);
        }
    }

    @Override
    public void schedule(double ms, Runnable task) {
        if (ms <= 0) {
            execute(task);
        } else if (!stopped) {
            thread.executeAfter(task, (long) Math.ceil(ms), TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public boolean hasCapacityForClient() {
        return descriptors.hasCapacityForClient();
    }

    @Override
    public boolean hasCapacityForUpstream() {
        return descriptors.hasCapacityForUpstream();
    }

    @Override
    public HotRestartState hotRestartState() {
        return hotRestartState;
    }

    /** Number of open connections and UDP sockets and of connections being opened; listeners are not counted. */
    public int openConnections() {
        return descriptors.openCount();
    }

    /**
     * Listens for TCP connections on an address. At most {@code maxConnections} of them hold descriptors; further ones
     * wait in the kernel's backlog.
     *
     * @param handler receives each connection, on the I/O thread
     */
    public Acceptor listen(InetSocketAddress address, int maxConnections, Consumer<StreamConnection> handler)
            throws IOException {
        Acceptor acceptor = new Acceptor(this, descriptors, acceptFailures, limits.sockets(), maxConnections, handler);
        descriptors.refillReserve();
        acceptor.start(new XnioListeningSocket(worker, address, limits.sockets().backlog(), acceptor::onAcceptable));
        return acceptor;
    }

    /**
     * Opens a UDP socket bound to an address; it is counted as a descriptor until it is closed.
     *
     * @param readBuffer the buffer into which datagrams are read; may be shared by the sockets of a loop
     */
    public UdpSocket bindUdp(InetSocketAddress address, ByteBuffer readBuffer, UdpSocket.Receiver receiver)
            throws IOException {
        MulticastMessageChannel channel = openUdpChannel(address);
        descriptors.opened();
        return new UdpSocket(
                this, channel, readBuffer, limits.quic().maxReadsPerEvent(), receiver, descriptors::closed);
    }

    /**
     * Opens a datagram channel without XNIO, which leaks the descriptor of a socket that cannot be bound until the next
     * garbage collection.
     */
    private MulticastMessageChannel openUdpChannel(InetSocketAddress address) throws IOException {
        DatagramChannel channel = DatagramChannel.open(
                address.getAddress() instanceof Inet6Address
                        ? StandardProtocolFamily.INET6
                        : StandardProtocolFamily.INET);
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_RCVBUF, limits.quic().receiveBufferBytes());
            // XNIO would set SO_REUSEADDR, with which the kernel may assign the same free port to two sockets; the
            // first one would then receive nothing.
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, false);
            channel.bind(address);
            return XnioInternals.newUdpChannel(worker, channel);
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
    }

    /** Stops the I/O thread; for tests and for programs that embed a node. */
    public void stop() {
        // Listeners that run while the thread ends may still schedule tasks, which the thread would reject.
        stopped = true;
        worker.shutdownNow();
    }

    @Override
    public TcpConnection register(StreamConnection connection, TcpConnection.Listener listener) {
        descriptors.opened();
        return new TcpConnection(connection, listener, descriptors::closed);
    }

    @Override
    public PendingConnection connect(
            InetSocketAddress to, Consumer<StreamConnection> onEstablished, Consumer<IOException> onFailed) {
        ConnectionAttempt attempt = new ConnectionAttempt(descriptors, onEstablished, onFailed);
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(to, attempt::established, OptionMap.create(Options.TCP_NODELAY, true));
        attempt.setFuture(future);
        future.addNotifier(
                (ended, attachment) -> {
                    if (ended.getStatus() != IoFuture.Status.DONE) {
                        IOException cause = failureOf(ended);
                        thread.execute(() -> attempt.failed(cause));
                    }
                },
                null);
        return attempt;
    }

    private static IOException failureOf(IoFuture<?> ended) {
        return ended.getStatus() == IoFuture.Status.FAILED
                ? ended.getException()
                : new IOException("connection attempt cancelled");
    }
}
