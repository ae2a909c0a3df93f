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

/**
 * A TCP connection that reads without blocking, queues bytes that cannot be written yet, and notifies its listener.
 * Confined to the event-loop thread.
 */
public final class TcpConnection {
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ArrayDeque<ByteBuffer> writeQueue = new ArrayDeque<>();
    private final Listener listener;
    private int queuedBytes;
    private boolean isOutputShutdownRequested;
    private boolean isOutputShutDown;
    private boolean isClosed;

    /** Receives the events of a connection until the connection is closed. */
    public interface Listener {
        /** Called when there are bytes to read or the end of input was reached. */
        void onReadable(TcpConnection connection);

        /** Called when all queued bytes have been written. */
        void onWritten(TcpConnection connection);

        /** Called when the connection has failed and was closed. */
        void onBroken(TcpConnection connection);
    }

    /** Takes over a connection; {@code onClosed} runs once when it is closed, for whatever reason. */
    public TcpConnection(StreamConnection connection, Listener listener, Runnable onClosed) {
        this.connection = connection;
        this.listener = listener;
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(readable -> {
            if (!isClosed) {
                runGuarded(() -> listener.onReadable(this));
            }
        });
        sink.setWriteListener(writable -> runGuarded(this::flush));
        ChannelListener<StreamConnection> closeListener = closed -> onClosed.run();
        connection.setCloseListener(closeListener);
    }

    /**
     * Runs a handler and closes the connection if the handler throws. Otherwise the selector would report its unread
     * input again and again.
     */
    private void runGuarded(Runnable handler) {
        try {
            handler.run();
        } catch (RuntimeException | Error e) {
            fail();
            throw e;
        }
    }

    /** Remote address; the wildcard address if it is no longer known. */
    public InetAddress remoteAddress() {
        InetSocketAddress address = connection.getPeerAddress(InetSocketAddress.class);
        return address == null || address.getAddress() == null
                ? new InetSocketAddress(0).getAddress()
                : address.getAddress();
    }

    /**
     * Reads received bytes without blocking. If the connection fails, the listener is notified before this method
     * returns.
     *
     * @return the number of bytes read; 0 if none are available or the connection is closed or fails, -1 at the end of
     *     input
     */
    public int read(ByteBuffer into) {
        try {
            return isClosed ? 0 : source.read(into);
        } catch (IOException e) {
            fail();
            return 0;
        }
    }

    /** Sets whether the listener is notified of input; off by default. */
    public void setReading(boolean enabled) {
        if (isClosed) {
            return;
        }
        if (enabled) {
            source.resumeReads();
        } else {
            source.suspendReads();
        }
    }

    /** Number of bytes queued for writing. */
    public int queuedBytes() {
        return queuedBytes;
    }

    /** Writes bytes, see {@link #write(ByteBuffer)}. */
    public void write(byte[] bytes) {
        write(ByteBuffer.wrap(bytes));
    }

    /**
     * Writes the buffer, of which this connection takes ownership. Bytes that cannot be written at once are queued. The
     * listener may be notified before this method returns. Ignored after {@link #shutdownOutput} or after the
     * connection was closed, and if the buffer is empty.
     */
    public void write(ByteBuffer bytes) {
        if (isClosed || isOutputShutdownRequested || !bytes.hasRemaining()) {
            return;
        }
        writeQueue.add(bytes);
        queuedBytes += bytes.remaining();
        flush();
    }

    /** Shuts down the output once all queued bytes are written; input can still be read. */
    public void shutdownOutput() {
        if (!isOutputShutdownRequested && !isClosed) {
            isOutputShutdownRequested = true;
            flush();
        }
    }

    /** Whether {@link #shutdownOutput} was called on the open connection. */
    public boolean isOutputShutdownRequested() {
        return isOutputShutdownRequested;
    }

    private void flush() {
        if (isClosed || isOutputShutDown) {
            return;
        }
        boolean hadQueuedBytes = queuedBytes > 0;
        try {
            if (!writeQueuedBytes()) {
                sink.resumeWrites();
                return;
            }
            finishShutdown();
        } catch (IOException e) {
            fail();
            return;
        }
        if (hadQueuedBytes) {
            listener.onWritten(this);
        }
    }

    /** Writes as many bytes as the kernel accepts; returns true once the queue is empty. */
    private boolean writeQueuedBytes() throws IOException {
        while (!writeQueue.isEmpty()) {
            int written = sink.write(writeQueue.peek());
            queuedBytes -= written;
            if (writeQueue.peek().hasRemaining()) {
                return false;
            }
            writeQueue.poll();
        }
        return true;
    }

    /** Shuts down the output if that was requested; called when the queue is empty. */
    private void finishShutdown() throws IOException {
        if (isOutputShutdownRequested) {
            sink.shutdownWrites();
            isOutputShutDown = sink.flush();
        }
        if (isOutputShutdownRequested && !isOutputShutDown) {
            sink.resumeWrites();
        } else {
            sink.suspendWrites();
        }
    }

    private void fail() {
        if (!isClosed) {
            close();
            listener.onBroken(this);
        }
    }

    /** Closes the connection at once. If received bytes were not read, the remote end sees a reset. */
    public void close() {
        if (!isClosed) {
            isClosed = true;
            IoUtils.safeClose(connection);
        }
    }

    /** Closes the connection with a reset. */
    public void abort() {
        if (isClosed) {
            return;
        }
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            // Without the option the connection is closed normally.
        }
        close();
    }

    /** Whether the connection was closed on this side or has failed. */
    public boolean isClosed() {
        return isClosed;
    }
}
