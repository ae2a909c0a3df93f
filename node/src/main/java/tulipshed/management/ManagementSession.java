package tulipshed.management;

import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import tulipshed.limits.Limits;
import tulipshed.time.Clock;
import tulipshed.transport.TcpConnection;

/** One connection of the management server: one request and one response. Confined to the event-loop thread. */
final class ManagementSession implements TcpConnection.Listener {
    private final ManagementServer server;
    private final TcpConnection connection;
    private final HttpRequestParser parser;
    private final ByteBuffer readBuffer;
    private final Clock clock;
    private final Limits limits;
    private final double acceptedMs;
    /** The time of the response, set just before it is written; NaN until then. */
    private double respondedMs = Double.NaN;

    /**
     * Wraps an accepted connection; nothing is read before {@link #start}.
     *
     * @param readBuffer the server's buffer, shared by all sessions
     */
    ManagementSession(
            ManagementServer server, StreamConnection accepted, Limits limits, ByteBuffer readBuffer, Clock clock) {
        this.server = server;
        // Not counted by the event loop: these descriptors are reserved, not taken from those of client connections.
        this.connection = new TcpConnection(accepted, this, () -> {});
        this.parser = new HttpRequestParser(limits.management().maxHeadBytes());
        this.readBuffer = readBuffer;
        this.clock = clock;
        this.limits = limits;
        this.acceptedMs = clock.nowMs();
    }

    /** Starts reading, beginning with input that has already arrived. */
    void start() {
        connection.setReading(true);
        onReadable(connection);
    }

    private boolean hasResponded() {
        return !Double.isNaN(respondedMs);
    }

    /**
     * Whether the timeout has expired. It starts at the acceptance and is not extended by input. After the response the
     * session stays open for at least a sweep interval; otherwise the client might see a reset instead of the response.
     */
    boolean isOverdue(double nowMs) {
        boolean isResponseRecent = nowMs - respondedMs < limits.sockets().sweepIntervalMs();
        return nowMs - acceptedMs > limits.management().requestTimeoutMs() && !isResponseRecent;
    }

    @Override
    public void onReadable(TcpConnection from) {
        for (int reads = 0; reads < limits.sockets().maxReadsPerEvent() && !connection.isClosed(); reads++) {
            readBuffer.clear();
            int readBytes = connection.read(readBuffer);
            if (readBytes < 0) {
                onEndOfStream();
            }
            if (readBytes <= 0) {
                return;
            }
            if (!hasResponded()) {
                parse(readBuffer.flip());
            }
        }
    }

    private void onEndOfStream() {
        if (!hasResponded() || connection.queuedBytes() == 0) {
            close();
        } else {
            connection.setReading(false);
        }
    }

    private void parse(ByteBuffer bytes) {
        try {
            if (parser.parse(bytes)) {
                respond(server.handle(parser.method(), parser.path()));
            }
        } catch (MalformedRequestException e) {
            respond(HttpResponse.text(400, "Bad Request", e.getMessage()));
        }
    }

    /** Responds to a request that was not complete in time. */
    void onRequestTimeout() {
        respond(HttpResponse.text(408, "Request Timeout", "no whole call in time"));
    }

    /** Reads the available input, then closes: closing a socket with unread input sends a reset. */
    void closeAfterRead() {
        onReadable(connection);
        close();
    }

    private void respond(HttpResponse response) {
        respondedMs = clock.nowMs();
        server.onResponded(this);
        connection.write(response.bytes());
        connection.shutdownOutput();
        // Further input is read and discarded until the client closes, so that no reset overtakes the response.
        connection.setReading(true);
    }

    /** Closes the connection. */
    void close() {
        server.onClosed(this);
        connection.close();
    }

    @Override
    public void onWritten(TcpConnection from) {
        // The session waits for the client to close, or for its timeout.
    }

    @Override
    public void onBroken(TcpConnection from) {
        close();
    }
}
