package tulipshed.warmup;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.ChannelListeners;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * An in-memory connection between the node and a {@link RemoteEnd}. Tasks of the event loop notify the node as long as
 * input is readable. Confined to the thread of the loop.
 */
final class InMemoryConnection extends StreamConnection {
    private static final SocketAddress ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final InMemoryEventLoop loop;
    private final RemoteEnd remote;
    private final ArrayDeque<ByteBuffer> input = new ArrayDeque<>();
    private boolean isInputEnded;
    private boolean isEndRead;
    private boolean isReading;
    private boolean isNotificationScheduled;
    private boolean isOutputEnded;

    InMemoryConnection(InMemoryEventLoop loop, RemoteEnd remote) {
        super(null);
        this.loop = loop;
        this.remote = remote;
        setSourceConduit(new InMemorySource(this));
        setSinkConduit(new InMemorySink(this));
    }

    // ---- The remote end ----

    /** Sends bytes to the node. */
    void send(byte[] bytes) {
        input.add(ByteBuffer.wrap(bytes));
        notifyIfReadable();
    }

    /** Ends the input of the node. */
    void endSending() {
        isInputEnded = true;
        notifyIfReadable();
    }

    // ---- The node's end ----

    /** Sets whether the node is notified of input. */
    void setReading(boolean enabled) {
        isReading = enabled;
        notifyIfReadable();
    }

    /** Returns whether the node is notified of input. */
    boolean isReading() {
        return isReading;
    }

    /**
     * Reads bytes of at most one write of the remote end.
     *
     * @return the number of bytes, 0 if none are available, or -1 at the end of input
     */
    int read(ByteBuffer into) {
        ByteBuffer next = input.peek();
        if (next == null) {
            isEndRead = isInputEnded;
            return isInputEnded ? -1 : 0;
        }
        int count = Math.min(next.remaining(), into.remaining());
        into.put(into.position(), next, next.position(), count).position(into.position() + count);
        next.position(next.position() + count);
        if (!next.hasRemaining()) {
            input.poll();
        }
        return count;
    }

    /** Passes all bytes to the remote end; returns their number. */
    int write(ByteBuffer bytes) {
        int count = bytes.remaining();
        remote.onBytes(this, bytes);
        return count;
    }

    /** Ends the output of the node. */
    void endOutput() {
        if (!isOutputEnded) {
            isOutputEnded = true;
            remote.onEnd(this);
        }
    }

    @Override
    protected void closeAction() {
        isReading = false;
        endOutput();
    }

    @Override
    public SocketAddress getPeerAddress() {
        return ADDRESS;
    }

    @Override
    public SocketAddress getLocalAddress() {
        return ADDRESS;
    }

    private void notifyIfReadable() {
        if (isReadable() && !isNotificationScheduled) {
            isNotificationScheduled = true;
            loop.execute(this::notifyReadable);
        }
    }

    private boolean isReadable() {
        return isReading && (!input.isEmpty() || (isInputEnded && !isEndRead));
    }

    private void notifyReadable() {
        isNotificationScheduled = false;
        if (isReadable()) {
            ConduitStreamSourceChannel source = getSourceChannel();
            ChannelListeners.invokeChannelListener(source, source.getReadListener());
            notifyIfReadable();
        }
    }
}
