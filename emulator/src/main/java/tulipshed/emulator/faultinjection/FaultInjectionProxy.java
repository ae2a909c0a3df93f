package tulipshed.emulator.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import tulipshed.emulator.loadtest.LinkObserver;

/**
 * The TCP proxy through which all links of a run pass, on one thread of its own. Observers are notified at the end of each
 * round of the selector, of ends first: a node ends one attempt before it starts the next, but two sockets have no order.
 */
final class FaultInjectionProxy implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final long SELECT_TIMEOUT_MS = 1;
    private static final long JOIN_TIMEOUT_MS = 5000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Selector selector = Selector.open();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final List<ProxiedLink> links = new ArrayList<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final List<Runnable> endReports = new ArrayList<>();
    private final List<StartReport> startReports = new ArrayList<>();
    private final UniformRandomProvider random;
    private final Thread thread;
    private long round;
    private long connectionCount;
    private volatile boolean isStopped;
    private volatile long maxLatenessNs;

    /**
     * A report of a connection whose first line was read in this round.
     *
     * @param connection the number of the connection
     * @param isEnd whether it reports the end of the connection, which came in the same round
     */
    private record StartReport(long connection, boolean isEnd, Runnable report) {}

    /** Starts the proxy; {@code random} gives the jitter of its links. */
    FaultInjectionProxy(UniformRandomProvider random) throws IOException {
        this.random = random;
        thread = new Thread(this::run, "fault-injection-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    /** Opens a link to an address; the observer, which may be null, is notified on the proxy's thread. */
    ProxiedLink openLink(InetSocketAddress target, LinkObserver observer) throws IOException {
        ProxiedLink link = new ProxiedLink(this, target, observer);
        execute(() -> {
            links.add(link);
            try {
                link.register();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        return link;
    }

    /** Runs a task on the proxy's thread; tasks run in the order in which they are given. */
    void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** The longest time that a delivery waited for the proxy itself, in milliseconds. */
    double maxLatenessMs() {
        return maxLatenessNs / NANOS_PER_MILLI;
    }

    private void run() {
        try {
            while (!isStopped) {
                runRound();
            }
            for (ProxiedLink link : links) {
                link.close();
            }
            selector.close();
        } catch (IOException e) {
            throw new IllegalStateException("the fault-injection proxy failed", e);
        }
    }

    private void runRound() throws IOException {
        selector.select(SELECT_TIMEOUT_MS);
        round++;
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.attachment() instanceof ProxiedLink link) {
                link.acceptAll();
            } else if (key.isValid()) {
                ((ProxiedConnection) key.attachment()).onReady();
            }
        }
        selector.selectedKeys().clear();
        links.forEach(ProxiedLink::deliver);
        endReports.forEach(Runnable::run);
        runStartReports();
        endReports.clear();
        startReports.clear();
    }

    /**
     * Reports the connections whose first line was read in this round: those that ended in it as well come before those
     * that go on. Two connections that overlapped within one round are not told apart from two in turn.
     */
    private void runStartReports() {
        Set<Long> ended = startReports.stream()
                .filter(StartReport::isEnd)
                .map(StartReport::connection)
                .collect(Collectors.toSet());
        startReports.sort(Comparator.<StartReport>comparingInt(report -> ended.contains(report.connection()) ? 0 : 1)
                .thenComparingLong(StartReport::connection));
        startReports.forEach(report -> report.report().run());
    }

    Selector selector() {
        return selector;
    }

    /** The buffer for reads, shared by all connections; its content is valid until the next read. */
    ByteBuffer readBuffer() {
        return readBuffer;
    }

    /** A uniformly random number from 0 to 1. */
    double nextRandomFraction() {
        return random.nextDouble();
    }

    /** Records that a delivery waited this long for the proxy. */
    void recordLateness(long latenessNs) {
        maxLatenessNs = Math.max(maxLatenessNs, latenessNs);
    }

    /** The number of the current round of the selector. */
    long round() {
        return round;
    }

    long nextConnectionNumber() {
        return ++connectionCount;
    }

    /** Reports, at the end of the round, the end of a connection whose first line was read in an earlier round. */
    void reportEnd(Runnable report) {
        endReports.add(report);
    }

    /** Reports, at the end of the round, a first line, or an end in the same round. */
    void reportStart(long connection, boolean isEnd, Runnable report) {
        startReports.add(new StartReport(connection, isEnd, report));
    }

    @Override
    public void close() {
        isStopped = true;
        selector.wakeup();
        try {
            thread.join(JOIN_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
