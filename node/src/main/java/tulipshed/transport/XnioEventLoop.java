package tulipshed.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import org.jboss.logging.Logger;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.EventLoop;

/** The one I/O thread: XNIO's, which runs listeners and, after those that were ready, the tasks given to it. */
public final class XnioEventLoop implements EventLoop {
    /** Kept, as loggers that nobody holds forget their level. */
    private static final List<java.util.logging.Logger> LIBRARIES =
            List.of(java.util.logging.Logger.getLogger("org.xnio"), java.util.logging.Logger.getLogger("org.jboss"));

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Limits limits;
    private final HotRestartState hotRestartState;
    private final Logger log;
    private int openConnections;
    private volatile boolean stopped;

    public XnioEventLoop(Limits limits) throws IOException {
        this(limits, new HotRestartState(), NodeLog.silent());
    }

    /** A loop of a process that may share its node with another one during a hot restart. */
    public XnioEventLoop(Limits limits, HotRestartState hotRestartState, NodeLog log) throws IOException {
        this.limits = limits;
        this.hotRestartState = hotRestartState;
        this.log = log.logger("transport");
        // XNIO and its threads greet with a line each, whose formatting alone costs a tenth of the start.
        LIBRARIES.forEach(l -> l.setLevel(Level.WARNING));
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

    /** Whether two more connections, a client's and its member's, stay within the descriptors allowed. */
    public boolean hasCapacityForClient() {
        return openConnections + others() + 2 <= limits.connectionDescriptors();
    }

    /** Whether one more connection, to a member, stays within the descriptors allowed. */
    public boolean hasCapacityForUpstream() {
        return openConnections + others() < limits.attemptDescriptors();
    }

    /** What another process of this node holds: its connections, and what a process needs besides. */
    private int others() {
        return hotRestartState.hasPeer()
                ? hotRestartState.peerOpenConnections()
                        + limits.sockets().reservedDescriptors()
                        + 2 * limits.management().connections()
                : 0;
    }

    private void opened(int more) {
        openConnections += more;
        hotRestartState.publishOpenConnections(openConnections);
    }

    /** The other process of this node, where there is one. */
    public HotRestartState hotRestartState() {
        return hotRestartState;
    }

    /** Connections open now. */
    public int openConnections() {
        return openConnections;
    }

    /**
     * Accepts connections at the address, and nowhere else. No more than {@code most} of them take descriptors: those that
     * come while as many are open wait in the kernel, as accepting runs ahead of the loop.
     */
    public Acceptor listen(InetSocketAddress address, int most, Consumer<StreamConnection> taker) throws IOException {
        Acceptor acceptor = new Acceptor(this, log, limits.sockets().maxAcceptsPerEvent(), taker);
        acceptor.starts(worker.createStreamConnectionServer(
                address,
                acceptor::ready,
                OptionMap.builder()
                        .set(Options.BACKLOG, limits.sockets().backlog())
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.CONNECTION_HIGH_WATER, most)
                        .set(Options.CONNECTION_LOW_WATER, most)
                        .set(Options.TCP_NODELAY, true)
                        .getMap()));
        return acceptor;
    }

    /** Opens a UDP socket at the address; it counts among the descriptors until it is closed. */
    public UdpSocket bindUdp(InetSocketAddress address, ByteBuffer scratch, UdpSocket.Receiver receiver)
            throws IOException {
        // XNIO would let addresses be used again, and the kernel then gives one free port to two such sockets: the
        // first hears
        // nothing any more.
        MulticastMessageChannel channel = worker.createUdpServer(
                address,
                OptionMap.create(
                        Options.REUSE_ADDRESSES,
                        false,
                        Options.RECEIVE_BUFFER,
                        limits.quic().receiveBufferBytes()));
        opened(1);
        return new UdpSocket(channel, scratch, limits.quic().maxReadsPerEvent(), receiver, () -> opened(-1));
    }

    /** Ends the I/O thread; for tests and for programs that embed a node. */
    public void stop() {
        // What was ready when the thread was ended may still want to give it tasks.
        stopped = true;
        worker.shutdownNow();
    }

    /** Makes a connection known to be open; it is counted until it is closed. */
    public TcpConnection register(StreamConnection connection, TcpConnection.Listener owner) {
        opened(1);
        return new TcpConnection(connection, owner, () -> opened(-1));
    }

    /** A connection being made. */
    public interface PendingConnection {
        /** Nothing more is told of it; a connection that comes up all the same is closed. */
        void abandon();
    }

    /** Opens a connection; one of the two is called, on the loop, unless it is given up before. */
    public PendingConnection connect(
            InetSocketAddress to, Consumer<StreamConnection> up, Consumer<IOException> failed) {
        Dial dial = new Dial(up, failed);
        opened(1);
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(to, dial::up, OptionMap.create(Options.TCP_NODELAY, true));
        dial.future = future;
        future.addNotifier(
                (f, x) -> {
                    if (f.getStatus() != IoFuture.Status.DONE) {
                        IOException why = f.getStatus() == IoFuture.Status.FAILED
                                ? f.getException()
                                : new IOException("connection attempt cancelled");
                        thread.execute(() -> dial.failed(why));
                    }
                },
                null);
        return dial;
    }

    /** One dialled connection; whichever comes first of up, failed and given up is the end of it. */
    private final class Dial implements PendingConnection {
        private final Consumer<StreamConnection> up;
        private final Consumer<IOException> failed;
        private IoFuture<StreamConnection> future;
        private boolean given;
        private boolean over;

        Dial(Consumer<StreamConnection> up, Consumer<IOException> failed) {
            this.up = up;
            this.failed = failed;
        }

        void up(StreamConnection c) {
            if (!over) {
                over = true;
                opened(-1);
                if (given) {
                    org.xnio.IoUtils.safeClose(c);
                } else {
                    up.accept(c);
                }
            }
        }

        void failed(IOException why) {
            if (!over) {
                over = true;
                opened(-1);
                if (!given) {
                    failed.accept(why);
                }
            }
        }

        @Override
        public void abandon() {
            given = true;
            if (future != null) {
                future.cancel();
            }
        }
    }
}
