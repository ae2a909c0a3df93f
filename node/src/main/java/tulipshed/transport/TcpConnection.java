package tulipshed.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** One TCP connection: reads when asked to, queues what cannot be written yet, ends the way it is told. */
public final class TcpConnection {
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private final Listener owner;
    private int queuedBytes;
    private boolean isShuttingDown;
    private boolean finished;
    private boolean isClosed;

    /** Hears what happens on a link; nothing after the link is closed. */
    public interface Listener {
        /** Something can be read: bytes, or the end. */
        void onReadable(TcpConnection link);

        /** All that was queued has been written. */
        void onWritten(TcpConnection link);

        /** The connection broke. */
        void onBroken(TcpConnection link);
    }

    public TcpConnection(StreamConnection connection, Listener owner, Runnable whenClosed) {
        this.connection = connection;
        this.owner = owner;
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(s -> {
            if (!isClosed) {
                owner.onReadable(this);
            }
        });
        sink.setWriteListener(s -> flush());
        ChannelListener<StreamConnection> closed = c -> whenClosed.run();
        connection.setCloseListener(closed);
    }

    /** The other end's address; the wildcard address where it is not known any more. */
    public InetAddress remoteAddress() {
        InetSocketAddress address = connection.getPeerAddress(InetSocketAddress.class);
        return address == null || address.getAddress() == null
                ? new InetSocketAddress(0).getAddress()
                : address.getAddress();
    }

    /** Reads what is there; -1 at the end, 0 when there is nothing now. A break is told to the owner as well. */
    public int read(ByteBuffer into) {
        try {
            return isClosed ? 0 : source.read(into);
        } catch (IOException e) {
            broken();
            return 0;
        }
    }

    public void setReading(boolean on) {
        if (isClosed) {
            return;
        }
        if (on) {
            source.resumeReads();
        } else {
            source.suspendReads();
        }
    }

    /** Bytes that wait to be written. */
    public int queuedBytes() {
        return queuedBytes;
    }

    public void write(byte[] bytes) {
        write(ByteBuffer.wrap(bytes));
    }

    /** Takes the buffer over; what cannot be written at once is queued. */
    public void write(ByteBuffer bytes) {
        if (isClosed || isShuttingDown || !bytes.hasRemaining()) {
            return;
        }
        queue.add(bytes);
        queuedBytes += bytes.remaining();
        flush();
    }

    /** Ends this side's sending once all is written. */
    public void shutdownOutput() {
        if (!isShuttingDown && !isClosed) {
            isShuttingDown = true;
            flush();
        }
    }

    public boolean isShuttingDown() {
        return isShuttingDown;
    }

    private void flush() {
        if (isClosed || finished) {
            return;
        }
        boolean waited = queuedBytes > 0;
        try {
            while (!queue.isEmpty()) {
                int written = sink.write(queue.peek());
                queuedBytes -= written;
                if (queue.peek().hasRemaining()) {
                    sink.resumeWrites();
                    return;
                }
                queue.poll();
            }
            if (isShuttingDown) {
                sink.shutdownWrites();
                finished = sink.flush();
            }
            if (isShuttingDown && !finished) {
                sink.resumeWrites();
            } else {
                sink.suspendWrites();
            }
        } catch (IOException e) {
            broken();
            return;
        }
        if (waited) {
            owner.onWritten(this);
        }
    }

    private void broken() {
        if (!isClosed) {
            isClosed = true;
            IoUtils.safeClose(connection);
            owner.onBroken(this);
        }
    }

    /** Closes at once; what was not read yet makes the other end see a reset. */
    public void close() {
        if (!isClosed) {
            isClosed = true;
            IoUtils.safeClose(connection);
        }
    }

    /** Closes with a reset. */
    public void abort() {
        if (!isClosed) {
            try {
                connection.setOption(Options.CLOSE_ABORT, true);
            } catch (IOException e) {
                // Then it is closed plainly.
                close();
                return;
            }
            close();
        }
    }

    public boolean isClosed() {
        return isClosed;
    }
}
