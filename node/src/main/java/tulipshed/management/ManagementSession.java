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
    private final double startedMs;
    /** NaN until the response is written. */
    private double respondedMs = Double.NaN;

    /**
     * Wraps an accepted connection; {@link #start} begins to read it.
     *
     * @param readBuffer the server's buffer, which sessions use in turn
     */
    ManagementSession(
            ManagementServer server, StreamConnection accepted, Limits limits, ByteBuffer readBuffer, Clock clock) {
        this.server = server;
        // Not counted by the event loop: these descriptors are reserved, and client connections have no share in them.
        this.connection = new TcpConnection(accepted, this, () -> {});
        this.parser = new HttpRequestParser(limits.management().maxHeadBytes());
        this.readBuffer = readBuffer;
        this.clock = clock;
        this.limits = limits;
        this.startedMs = clock.nowMs();
    }

    /** Begins to read, at once with what has arrived. */
    void start() {
        connection.setReading(true);
        onReadable(connection);
    }

    private boolean hasResponded() {
        return !Double.isNaN(respondedMs);
    }

    /**
     * Whether its time is over, which is counted from its acceptance however often bytes of it arrive; after its response it
     * stays for a sweep interval at least, or the client might see a reset in place of the response.
     */
    boolean isOverdue(double nowMs) {
        boolean mayStillRead = nowMs - respondedMs < limits.sockets().sweepIntervalMs();
        return nowMs - startedMs > limits.management().requestTimeoutMs() && !mayStillRead;
    }

    @Override
    public void onReadable(TcpConnection from) {
        for (int reads = 0; reads < limits.sockets().maxReadsPerEvent() && !connection.isClosed(); reads++) {
            readBuffer.clear();
            int count = connection.read(readBuffer);
            if (count < 0) {
                endOfInput();
            }
            if (count <= 0) {
                return;
            }
            if (!hasResponded()) {
                parse(readBuffer.flip());
            }
        }
    }

    private void endOfInput() {
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

    /** The request was not complete in time. */
    void onRequestTimeout() {
        respond(HttpResponse.text(408, "Request Timeout", "no whole call in time"));
    }

    /** Closes once what has arrived is read: a close over unread bytes is a reset. */
    void closeAfterRead() {
        onReadable(connection);
        close();
    }

    private void respond(HttpResponse response) {
        respondedMs = clock.nowMs();
        server.onResponded(this);
        connection.write(response.bytes());
        connection.shutdownOutput();
        // Further input is read and dropped until the client closes, so that no reset overtakes the response.
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
