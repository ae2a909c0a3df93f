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
import tulipshed.emulator.loadtest.NetworkPaths;

/**
 * All links of a trial, on one thread of their own. What a round of reading shows is told ends first: a node ends one flow
 * before it opens the next, but two sockets have no order.
 */
final class FaultInjectionProxy implements AutoCloseable {
    private static final int READ_BYTES = 64 * 1024;
    private static final long TURN_MS = 1;

    private final Selector selector = Selector.open();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final List<ProxiedLink> links = new ArrayList<>();
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(READ_BYTES);
    private final List<Runnable> ends = new ArrayList<>();
    private final List<First> firsts = new ArrayList<>();
    private long round;
    private long connections;
    private final UniformRandomProvider random;
    private final Thread thread;
    private volatile boolean stopped;
    private volatile long latestNs;

    /** What one connection has begun with, and its end where both came in one round. */
    private record First(long connection, boolean end, Runnable what) {}

    /** Links whose jitter is drawn from {@code random}. */
    FaultInjectionProxy(UniformRandomProvider random) throws IOException {
        this.random = random;
        thread = new Thread(this::turns, "relays");
        thread.setDaemon(true);
        thread.start();
    }

    /** A link to an address; the ear, which may be null, is told on the relays' thread. */
    ProxiedLink link(InetSocketAddress to, NetworkPaths.Ear ear) throws IOException {
        ProxiedLink link = new ProxiedLink(this, to, ear);
        on(() -> {
            links.add(link);
            try {
                link.register();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        return link;
    }

    /** Runs something on the relays' thread, in the order given. */
    void on(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** The longest that something due waited for the relays themselves, in milliseconds. */
    double lateMs() {
        return latestNs / 1e6;
    }

    private void turns() {
        try {
            while (!stopped) {
                selector.select(TURN_MS);
                round++;
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                for (SelectionKey k : selector.selectedKeys()) {
                    if (k.attachment() instanceof ProxiedLink l) {
                        l.accept();
                    } else if (k.isValid()) {
                        ((ProxiedConnection) k.attachment()).ready();
                    }
                }
                selector.selectedKeys().clear();
                links.forEach(ProxiedLink::deliver);
                ends.forEach(Runnable::run);
                tellFirsts();
                ends.clear();
                firsts.clear();
            }
            for (ProxiedLink l : links) {
                l.close();
            }
            selector.close();
        } catch (IOException e) {
            throw new IllegalStateException("the relays have failed", e);
        }
    }

    /**
     * What began in this round, on sockets that have no order between them: those that have ended in it as well come before
     * those that go on. Two that really overlapped within one round are not told apart from two in turn.
     */
    private void tellFirsts() {
        Set<Long> over =
                firsts.stream().filter(First::end).map(First::connection).collect(Collectors.toSet());
        firsts.sort(Comparator.<First>comparingInt(f -> over.contains(f.connection()) ? 0 : 1)
                .thenComparingLong(First::connection));
        firsts.forEach(f -> f.what().run());
    }

    // ---- For links ----

    Selector selector() {
        return selector;
    }

    ByteBuffer scratch() {
        return scratch;
    }

    double chance() {
        return random.nextDouble();
    }

    void late(long ns) {
        latestNs = Math.max(latestNs, ns);
    }

    long round() {
        return round;
    }

    long nextConnection() {
        return ++connections;
    }

    /** The end of a connection that had begun in an earlier round. */
    void tellEnd(Runnable what) {
        ends.add(what);
    }

    /** A beginning, or an end in the same round. */
    void tellFirst(long connection, boolean end, Runnable what) {
        firsts.add(new First(connection, end, what));
    }

    @Override
    public void close() {
        stopped = true;
        selector.wakeup();
        try {
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
