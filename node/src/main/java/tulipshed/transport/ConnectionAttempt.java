package tulipshed.transport;

import java.io.IOException;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * One attempt to open a TCP connection. It counts among the descriptors until it ends, which it does once: established,
 * failed, or either of these after it was abandoned. Confined to the event-loop thread.
 */
final class ConnectionAttempt implements ConnectionLoop.PendingConnection {
    private final DescriptorBudget descriptors;
    private final Consumer<StreamConnection> onEstablished;
    private final Consumer<IOException> onFailed;
    private IoFuture<StreamConnection> future;
    private boolean abandoned;
    private boolean ended;

    /** An attempt that starts now; one of the two consumers is called unless it is abandoned before. */
    ConnectionAttempt(
            DescriptorBudget descriptors, Consumer<StreamConnection> onEstablished, Consumer<IOException> onFailed) {
        this.descriptors = descriptors;
        this.onEstablished = onEstablished;
        this.onFailed = onFailed;
        descriptors.opened();
    }

    /** Sets what {@link #abandon} cancels. */
    void setFuture(IoFuture<StreamConnection> future) {
        this.future = future;
    }

    /** The connection is established. */
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

    /** The connection could not be opened. */
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
