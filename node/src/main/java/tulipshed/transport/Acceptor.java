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
 * One address that connections are taken at. XNIO accepts on a thread of its own, ahead of the loop, and the kernel takes
 * a descriptor back only in the loop's next look at its sockets. So what was accepted is handed on a few at a time, with
 * such a look in between: else a burst would take descriptors that were given up as well as those that wait.
 */
public final class Acceptor implements Closeable {
    private static final double NEXT_LOOK_MS = 1;

    private final XnioEventLoop loop;
    private final Logger log;
    private final int atOnce;
    private final Consumer<StreamConnection> taker;
    private final ArrayDeque<StreamConnection> accepted = new ArrayDeque<>();
    private AcceptingChannel<StreamConnection> channel;
    private boolean ahead;

    Acceptor(XnioEventLoop loop, Logger log, int atOnce, Consumer<StreamConnection> taker) {
        this.loop = loop;
        this.log = log;
        this.atOnce = atOnce;
        this.taker = taker;
    }

    void starts(AcceptingChannel<StreamConnection> listening) {
        channel = listening;
        channel.resumeAccepts();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Something was accepted. */
    void ready(AcceptingChannel<StreamConnection> from) {
        gather(from);
        if (!ahead) {
            handOn();
        }
    }

    private void gather(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                accepted.add(c);
            }
        } catch (IOException e) {
            log.error("cannot accept a connection: " + e.getMessage());
        }
    }

    private void handOn() {
        ahead = false;
        for (int i = 0; i < atOnce && !accepted.isEmpty(); i++) {
            taker.accept(accepted.poll());
        }
        if (!accepted.isEmpty()) {
            ahead = true;
            loop.schedule(NEXT_LOOK_MS, this::handOn);
        }
    }

    /** Hands on all that has been accepted, and takes nothing more. */
    public void drainAndClose() {
        gather(channel);
        while (!accepted.isEmpty()) {
            taker.accept(accepted.poll());
        }
        close();
    }

    /** Takes nothing more; what was accepted and not handed on is closed. */
    @Override
    public void close() {
        IoUtils.safeClose(channel);
        accepted.forEach(IoUtils::safeClose);
        accepted.clear();
    }
}
