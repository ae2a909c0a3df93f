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
 * The node's event loop: XNIO's one I/O thread, which runs the listeners of sockets that are ready and then the tasks that
 * were given to it. Opens sockets and counts their descriptors.
 *
 * <p>{@link #execute}, {@link #schedule} and {@link #stop} may be called on any thread, all else on the I/O thread once the
 * node runs.
 */
public final class XnioEventLoop implements ConnectionLoop {
    /** Held here, as the platform keeps only weak references to loggers and would forget their level. */
    private static final List<java.util.logging.Logger> LIBRARY_LOGGERS =
            List.of(java.util.logging.Logger.getLogger("org.xnio"), java.util.logging.Logger.getLogger("org.jboss"));

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Limits limits;
    private final HotRestartState hotRestartState;
    private final DescriptorBudget descriptors;
    private final FailureLog acceptFailures;
    private volatile boolean stopped;

    /** The loop of a process that has no peer in a hot restart, and that logs nothing. */
    public XnioEventLoop(Limits limits) throws IOException {
        this(limits, new HotRestartState(), NodeLog.silent());
    }

    /** The loop of a process that may share its node with another one during a hot restart. */
    public XnioEventLoop(Limits limits, HotRestartState hotRestartState, NodeLog log) throws IOException {
        this.limits = limits;
        this.hotRestartState = hotRestartState;
        descriptors = new DescriptorBudget(
                limits, hotRestartState, new DescriptorReserve(limits.sockets().emergencyDescriptors()));
        acceptFailures = new FailureLog(
                this, limits.lineProtocol().protocolErrorLogMs(), log.logger("transport")::warn, "accepting failed");
        // XNIO and its threads log a line each at the start, whose formatting alone takes a tenth of the start.
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

    /** Connections and UDP sockets that are open, and connections being opened; listeners do not count. */
    public int openConnections() {
        return descriptors.openCount();
    }

    /**
     * Listens for TCP connections at an address. At most {@code maxConnections} of them hold descriptors: further ones wait
     * in the kernel's backlog.
     *
     * @param handler takes each connection, on the I/O thread
     */
    public Acceptor listen(InetSocketAddress address, int maxConnections, Consumer<StreamConnection> handler)
            throws IOException {
        Acceptor acceptor = new Acceptor(this, descriptors, acceptFailures, limits.sockets(), maxConnections, handler);
        descriptors.refillReserve();
        acceptor.start(new XnioListeningSocket(worker, address, limits.sockets().backlog(), acceptor::onAcceptable));
        return acceptor;
    }

    /**
     * Opens a UDP socket at an address; it counts among the descriptors until it is closed.
     *
     * @param scratch what datagrams are read into; may be shared by the sockets of a loop
     */
    public UdpSocket bindUdp(InetSocketAddress address, ByteBuffer scratch, UdpSocket.Receiver receiver)
            throws IOException {
        MulticastMessageChannel channel = openUdpChannel(address);
        descriptors.opened();
        return new UdpSocket(this, channel, scratch, limits.quic().maxReadsPerEvent(), receiver, descriptors::closed);
    }

    /** XNIO's own way keeps the descriptor of a socket that cannot be bound until the next garbage collection. */
    private MulticastMessageChannel openUdpChannel(InetSocketAddress address) throws IOException {
        DatagramChannel channel = DatagramChannel.open(
                address.getAddress() instanceof Inet6Address
                        ? StandardProtocolFamily.INET6
                        : StandardProtocolFamily.INET);
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_RCVBUF, limits.quic().receiveBufferBytes());
            // XNIO would set SO_REUSEADDR, with which the kernel may give the same free port to two sockets: the first
            // then receives nothing any more.
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, false);
            channel.bind(address);
            return XnioInternals.newUdpChannel(worker, channel);
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(channel);
            throw e;
        }
    }

    /** Ends the I/O thread; for tests and for programs that embed a node. */
    public void stop() {
        // Listeners that are running while the thread ends may still schedule tasks, which it would reject.
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
