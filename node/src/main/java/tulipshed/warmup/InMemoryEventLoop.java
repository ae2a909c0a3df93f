package tulipshed.warmup;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import tulipshed.time.Clock;
import tulipshed.transport.ConnectionLoop;
import tulipshed.transport.HotRestartState;
import tulipshed.transport.TcpConnection;

/**
 * An event loop in virtual time with in-memory connections; all upstream connections lead to one {@link RemoteEnd}. Runs
 * on the thread that calls {@link #advance}.
 */
final class InMemoryEventLoop implements ConnectionLoop, Clock {
    private final RemoteEnd endpoint;
    private final HotRestartState hotRestartState = new HotRestartState();
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private double nowMs;
    private long nextSequenceNumber;
    private int openConnections;

    /** A task that is due at a time; tasks due at the same time run in the order in which they were scheduled. */
    private record Timer(double atMs, long sequenceNumber, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    /** Creates a loop at time 0 that connects every upstream connection of the node to this endpoint. */
    InMemoryEventLoop(RemoteEnd endpoint) {
        this.endpoint = endpoint;
    }

    /** Runs all tasks and the timers of the next {@code durationMs} milliseconds. */
    void advance(double durationMs) {
        double untilMs = nowMs + durationMs;
        runTasks();
        while (!timers.isEmpty() && timers.peek().atMs() <= untilMs) {
            Timer next = timers.poll();
            nowMs = Math.max(nowMs, next.atMs());
            next.task().run();
            runTasks();
        }
        nowMs = untilMs;
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    /** Returns the number of open connections. */
    int openConnections() {
        return openConnections;
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    @Override
    public void schedule(double delayMs, Runnable task) {
        if (delayMs <= 0) {
            execute(task);
        } else {
            timers.add(new Timer(nowMs + delayMs, nextSequenceNumber++, task));
        }
    }

    @Override
    public boolean hasCapacityForClient() {
        return true;
    }

    @Override
    public boolean hasCapacityForUpstream() {
        return true;
    }

    @Override
    public HotRestartState hotRestartState() {
        return hotRestartState;
    }

    @Override
    public TcpConnection register(StreamConnection connection, TcpConnection.Listener listener) {
        openConnections++;
        return new TcpConnection(connection, listener, () -> openConnections--);
    }

    @Override
    public PendingConnection connect(
            InetSocketAddress to, Consumer<StreamConnection> onEstablished, Consumer<IOException> onFailed) {
        InMemoryPendingConnection pending = new InMemoryPendingConnection(onEstablished);
        execute(pending);
        return pending;
    }

    /** A connection to the endpoint that is established by a queued task of the loop. */
    private final class InMemoryPendingConnection implements PendingConnection, Runnable {
        private final Consumer<StreamConnection> onEstablished;
        private boolean isAbandoned;

        InMemoryPendingConnection(Consumer<StreamConnection> onEstablished) {
            this.onEstablished = onEstablished;
        }

        @Override
        public void abandon() {
            isAbandoned = true;
        }

        @Override
        public void run() {
            if (!isAbandoned) {
                onEstablished.accept(new InMemoryConnection(InMemoryEventLoop.this, endpoint));
            }
        }
    }
}
