package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * One TCP listener. XNIO accepts on a thread of its own, ahead of the event loop, and the kernel releases the descriptor of
 * a closed connection only at the loop's next select. So accepted connections are handled in small batches with a select
 * in between; else a burst would take both the descriptors of connections that were closed already and those of
 * connections that wait. Confined to the event-loop thread.
 */
public final class Acceptor implements Closeable {
    /** Long enough for the loop to select once. */
    private static final double BATCH_DELAY_MS = 1;

    private final XnioEventLoop loop;
    private final Logger log;
    private final int batchSize;
    private final Consumer<StreamConnection> handler;
    private final ArrayDeque<StreamConnection> accepted = new ArrayDeque<>();
    private AcceptingChannel<StreamConnection> channel;
    private boolean batchScheduled;

    /** A listener that hands at most {@code batchSize} connections to {@code handler} between two selects. */
    Acceptor(XnioEventLoop loop, Logger log, int batchSize, Consumer<StreamConnection> handler) {
        this.loop = loop;
        this.log = log;
        this.batchSize = batchSize;
        this.handler = handler;
    }

    /** Starts accepting from a channel that listens already. */
    void start(AcceptingChannel<StreamConnection> listening) {
        channel = listening;
        channel.resumeAccepts();
    }

    /** The local address. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Called by XNIO where connections can be accepted. */
    void onAcceptable(AcceptingChannel<StreamConnection> from) {
        acceptAll(from);
        if (!batchScheduled) {
            handleBatch();
        }
    }

    private void acceptAll(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection next = from.accept(); next != null; next = from.accept()) {
                accepted.add(next);
            }
        } catch (IOException e) {
            log.error("cannot accept a connection: " + e.getMessage());
        }
    }

    private void handleBatch() {
        batchScheduled = false;
        for (int i = 0; i < batchSize && !accepted.isEmpty(); i++) {
            handler.accept(accepted.poll());
        }
        if (!accepted.isEmpty()) {
            batchScheduled = true;
            loop.schedule(BATCH_DELAY_MS, this::handleBatch);
        }
    }

    /** Hands over all connections that the kernel has accepted, then stops listening. */
    public void drainAndClose() {
        acceptAll(channel);
        while (!accepted.isEmpty()) {
            handler.accept(accepted.poll());
        }
        close();
    }

    /** Stops listening, and closes connections that were accepted and not handed over. */
    @Override
    public void close() {
        IoUtils.safeClose(channel);
        accepted.forEach(IoUtils::safeClose);
        accepted.clear();
    }
}
