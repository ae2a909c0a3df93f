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
public final class Link {
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private final Owner owner;
    private int queued;
    private boolean finishing;
    private boolean finished;
    private boolean ended;

    /** Hears what happens on a link; nothing after the link is closed. */
    public interface Owner {
        /** Something can be read: bytes, or the end. */
        void readable(Link link);

        /** All that was queued has been written. */
        void drained(Link link);

        /** The connection broke. */
        void broken(Link link);
    }

    public Link(StreamConnection connection, Owner owner, Runnable whenClosed) {
        this.connection = connection;
        this.owner = owner;
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(s -> {
            if (!ended) {
                owner.readable(this);
            }
        });
        sink.setWriteListener(s -> flush());
        ChannelListener<StreamConnection> closed = c -> whenClosed.run();
        connection.setCloseListener(closed);
    }

    /** The other end's address; the wildcard address where it is not known any more. */
    public InetAddress peer() {
        InetSocketAddress address = connection.getPeerAddress(InetSocketAddress.class);
        return address == null || address.getAddress() == null
                ? new InetSocketAddress(0).getAddress()
                : address.getAddress();
    }

    /** Reads what is there; -1 at the end, 0 when there is nothing now. A break is told to the owner as well. */
    public int read(ByteBuffer into) {
        try {
            return ended ? 0 : source.read(into);
        } catch (IOException e) {
            broken();
            return 0;
        }
    }

    public void listen(boolean on) {
        if (ended) {
            return;
        }
        if (on) {
            source.resumeReads();
        } else {
            source.suspendReads();
        }
    }

    /** Bytes that wait to be written. */
    public int queued() {
        return queued;
    }

    public void write(byte[] bytes) {
        write(ByteBuffer.wrap(bytes));
    }

    /** Takes the buffer over; what cannot be written at once is queued. */
    public void write(ByteBuffer bytes) {
        if (ended || finishing || !bytes.hasRemaining()) {
            return;
        }
        queue.add(bytes);
        queued += bytes.remaining();
        flush();
    }

    /** Ends this side's sending once all is written. */
    public void finish() {
        if (!finishing && !ended) {
            finishing = true;
            flush();
        }
    }

    public boolean finishing() {
        return finishing;
    }

    private void flush() {
        if (ended || finished) {
            return;
        }
        boolean waited = queued > 0;
        try {
            while (!queue.isEmpty()) {
                int written = sink.write(queue.peek());
                queued -= written;
                if (queue.peek().hasRemaining()) {
                    sink.resumeWrites();
                    return;
                }
                queue.poll();
            }
            if (finishing) {
                sink.shutdownWrites();
                finished = sink.flush();
            }
            if (finishing && !finished) {
                sink.resumeWrites();
            } else {
                sink.suspendWrites();
            }
        } catch (IOException e) {
            broken();
            return;
        }
        if (waited) {
            owner.drained(this);
        }
    }

    private void broken() {
        if (!ended) {
            ended = true;
            IoUtils.safeClose(connection);
            owner.broken(this);
        }
    }

    /** Closes at once; what was not read yet makes the other end see a reset. */
    public void close() {
        if (!ended) {
            ended = true;
            IoUtils.safeClose(connection);
        }
    }

    /** Closes with a reset. */
    public void abort() {
        if (!ended) {
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

    public boolean ended() {
        return ended;
    }
}
