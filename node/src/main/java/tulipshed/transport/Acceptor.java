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
 * A TCP listener. At most {@link SocketLimits#maxAcceptsPerEvent} connections are accepted between two selects, because
 * Java closes the descriptor of a closed channel only at the next select. Without this limit a burst would need
 * descriptors for closed and for waiting connections at the same time.
 *
 * <p>A failed accept is retried at once, up to {@link SocketLimits#maxAcceptAttempts} attempts in total, as most causes
 * are transient or concern a single connection. After that, a descriptor of the {@link DescriptorReserve} is released
 * for the connection. Until the reserve is full again, descriptors count as exhausted, so that the connection is
 * rejected or replaces an idle one. If this accept fails too, the listener pauses for {@link
 * SocketLimits#acceptRetryDelayMs}. Confined to the event-loop thread.
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
     * Creates a listener that is not started yet.
     *
     * @param maxConnections the maximum number of open connections; further ones wait in the kernel's backlog
     * @param handler receives each accepted connection, on the event-loop thread
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

    /** Starts accepting connections from a listening socket. */
    void start(ListeningSocket listening) {
        socket = listening;
        socket.resumeAccepts();
    }

    /** Local address. */
    public InetSocketAddress address() {
        return socket.address();
    }

    /** Accepts waiting connections; called between two selects while connections wait. */
    void onAcceptable() {
        if (isRetryScheduled) {
            // The preceding select released the descriptors of closed connections.
            descriptors.refillReserve();
        }
        StreamConnection next = isClosed || isPaused ? null : accept();
        for (int handledCount = 1; next != null; handledCount++) {
            handle(next);
            next = handledCount < limits.maxAcceptsPerEvent() && canAccept() ? accept() : null;
        }
    }

    private boolean canAccept() {
        return !isClosed && !isPaused && openConnections < maxConnections;
    }

    /** Returns the next connection; null if none waits or none can be accepted now. */
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

    /** Passes all connections that wait in the kernel's backlog to the handler, then stops listening. */
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
