package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import tulipshed.proxy.EventLoop;

/**
 * One TCP listener. Connections are accepted in small batches with a select in between, as the kernel releases the
 * descriptor of a closed connection only at a select: else a burst would take both the descriptors of connections that were
 * closed already and those of connections that wait.
 *
 * <p>An accept that fails is repeated at once, as most reasons concern one moment or one connection. If it fails again
 * and again a descriptor of the reserve is given up for it, and descriptors count as exhausted until the reserve is whole
 * again, so that the connection is rejected, or served in place of an idle one. If that does not help either the listener
 * pauses for some milliseconds. Confined to the event-loop thread.
 */
public final class Acceptor implements Closeable {
    private static final int ACCEPT_ATTEMPTS = 5;
    private static final double RETRY_DELAY_MS = 5;

    private final EventLoop loop;
    private final DescriptorBudget descriptors;
    private final FailureLog failures;
    private final int batchSize;
    private final int maxConnections;
    private final Consumer<StreamConnection> handler;
    private ListeningSocket socket;
    private int openConnections;
    private boolean isPaused;
    private boolean isRetryScheduled;
    private boolean isClosed;

    /** A listener that hands at most {@code batchSize} connections to {@code handler} between two selects. */
    Acceptor(
            EventLoop loop,
            DescriptorBudget descriptors,
            FailureLog failures,
            int batchSize,
            int maxConnections,
            Consumer<StreamConnection> handler) {
        this.loop = loop;
        this.descriptors = descriptors;
        this.failures = failures;
        this.batchSize = batchSize;
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
            next = handled < batchSize && canAccept() ? accept() : null;
        }
    }

    private boolean canAccept() {
        return !isClosed && !isPaused && openConnections < maxConnections;
    }

    /** The next connection; null where none waits or none can be accepted now. */
    private StreamConnection accept() {
        for (int attempt = 1; attempt <= ACCEPT_ATTEMPTS; attempt++) {
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
            loop.schedule(RETRY_DELAY_MS, this::retry);
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
