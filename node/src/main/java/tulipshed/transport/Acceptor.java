package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import tulipshed.limits.SocketLimits;
import tulipshed.proxy.EventLoop;

/**
 * One TCP listener. At most {@link SocketLimits#maxAcceptsPerEvent} connections are accepted between two selects, as the
 * kernel releases the descriptor of a closed connection only at a select: without that bound a burst would need descriptors
 * for closed connections and for waiting ones at the same time.
 *
 * <p>A failed accept is repeated at once, up to {@link SocketLimits#maxAcceptAttempts} times, as most causes are transient or
 * concern one connection. Then a descriptor of the {@link DescriptorReserve} is released for it. Until the reserve is full
 * again descriptors count as exhausted, so that the connection is rejected or replaces an idle one. If that fails too the
 * listener pauses for {@link SocketLimits#acceptRetryDelayMs}. Confined to the event-loop thread.
 */
public final class Acceptor implements Closeable {
    private final EventLoop loop;
    private final DescriptorBudget descriptors;
    private final FailureLog failures;
    private final SocketLimits limits;
    private final int maxConnections;
    private final Consumer<StreamConnection> handler;
    private ListeningSocket socket;
    private int openConnections;
    private boolean isPaused;
    private boolean isRetryScheduled;
    private boolean isClosed;

    /**
     * A listener that is not started yet.
     *
     * @param maxConnections the connections open at a time; further ones wait in the kernel's backlog
     * @param handler takes each accepted connection, on the event-loop thread
     */
    Acceptor(
            EventLoop loop,
            DescriptorBudget descriptors,
            FailureLog failures,
            SocketLimits limits,
            int maxConnections,
            Consumer<StreamConnection> handler) {
        this.loop = loop;
        this.descriptors = descriptors;
        this.failures = failures;
        this.limits = limits;
        this.maxConnections = maxConnections;
        this.handler = handler;
    }

    /** Starts accepting from a socket that listens already. */
    void start(ListeningSocket listening) {
        socket = listening;
        socket.resumeAccepts();
    }

    /** The local address. */
    public InetSocketAddress address() {
        return socket.address();
    }

    /** Called between two selects while connections wait. */
    void onAcceptable() {
        if (isRetryScheduled) {
            // The select before this has released the descriptors of connections that were closed.
            descriptors.refillReserve();
        }
        StreamConnection next = isClosed || isPaused ? null : accept();
        for (int handled = 1; next != null; handled++) {
            handle(next);
            next = handled < limits.maxAcceptsPerEvent() && canAccept() ? accept() : null;
        }
    }

    private boolean canAccept() {
        return !isClosed && !isPaused && openConnections < maxConnections;
    }

    /** The next connection; null where none waits or none can be accepted now. */
    private StreamConnection accept() {
        for (int attempt = 1; attempt <= limits.maxAcceptAttempts(); attempt++) {
            try {
                return socket.accept();
            } catch (ClosedChannelException e) {
                return null;
            } catch (IOException e) {
                failures.record(e);
            }
        }
        return acceptWithReserve();
    }

    private StreamConnection acceptWithReserve() {
        scheduleRetry();
        try {
            if (descriptors.releaseReserved()) {
                return socket.accept();
            }
        } catch (IOException e) {
            failures.record(e);
        }
        isPaused = true;
        socket.suspendAccepts();
        return null;
    }

    private void handle(StreamConnection connection) {
        openConnections++;
        connection.setCloseListener(closed -> onConnectionClosed());
        if (openConnections == maxConnections) {
            socket.suspendAccepts();
        }
        try {
            handler.accept(connection);
        } catch (RuntimeException | Error e) {
            IoUtils.safeClose(connection);
            throw e;
        }
    }

    private void onConnectionClosed() {
        openConnections--;
        resumeIfPossible();
    }

    private void scheduleRetry() {
        if (!isRetryScheduled) {
            isRetryScheduled = true;
            loop.schedule(limits.acceptRetryDelayMs(), this::retry);
        }
    }

    private void retry() {
        isRetryScheduled = false;
        isPaused = false;
        resumeIfPossible();
        if (!descriptors.refillReserve() && !isClosed) {
            scheduleRetry();
        }
    }

    private void resumeIfPossible() {
        if (canAccept()) {
            socket.resumeAccepts();
        }
    }

    /** Hands over all connections that the kernel has accepted, then stops listening. */
    public void drainAndClose() {
        for (StreamConnection next = accept(); next != null; next = accept()) {
            handle(next);
        }
        close();
    }

    /** Stops listening. */
    @Override
    public void close() {
        isClosed = true;
        socket.close();
    }
}
