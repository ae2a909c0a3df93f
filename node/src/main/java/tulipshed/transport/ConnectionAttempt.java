package tulipshed.transport;

import java.io.IOException;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * An attempt to open a TCP connection. It is counted as a descriptor until it ends, which happens exactly once: when
 * the connection is established or fails, even if the attempt was abandoned before. Confined to the event-loop thread.
 */
final class ConnectionAttempt implements ConnectionLoop.PendingConnection {
    private final DescriptorBudget descriptors;
    private final Consumer<StreamConnection> onEstablished;
    private final Consumer<IOException> onFailed;
    private IoFuture<StreamConnection> future;
    private boolean abandoned;
    private boolean ended;

    /** Starts an attempt; one of the two consumers is called when it ends, unless it is abandoned before. */
    ConnectionAttempt(
            DescriptorBudget descriptors, Consumer<StreamConnection> onEstablished, Consumer<IOException> onFailed) {
        this.descriptors = descriptors;
        this.onEstablished = onEstablished;
        this.onFailed = onFailed;
        descriptors.opened();
    }

    /** Sets the future that {@link #abandon} cancels. */
    void setFuture(IoFuture<StreamConnection> future) {
        this.future = future;
    }

    /** Handles an established connection. */
    void established(StreamConnection connection) {
        if (ended) {
            return;
        }
        end();
        if (abandoned) {
            IoUtils.safeClose(connection);
            return;
        }
        try {
            onEstablished.accept(connection);
        } catch (RuntimeException | Error e) {
            IoUtils.safeClose(connection);
            throw e;
        }
    }

    /** Handles a failure to open the connection. */
    void failed(IOException cause) {
        if (ended) {
            return;
        }
        end();
        if (!abandoned) {
            onFailed.accept(cause);
        }
    }

    @Override
    public void abandon() {
        abandoned = true;
        if (future != null) {
            future.cancel();
        }
    }

    private void end() {
        ended = true;
        descriptors.closed();
    }
}
