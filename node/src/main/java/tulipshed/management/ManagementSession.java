package tulipshed.management;

import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import tulipshed.limits.Limits;
import tulipshed.transport.TcpConnection;

/** One connection of the management server: one request and one response. Confined to the event-loop thread. */
final class ManagementSession implements TcpConnection.Listener {
    private final ManagementServer server;
    private final TcpConnection connection;
    private final HttpRequestParser parser;
    private final ByteBuffer readBuffer;
    private final int maxReadsPerEvent;
    private final double startedMs;
    private boolean responded;

    /**
     * Wraps an accepted connection; {@link #start} begins to read it.
     *
     * @param readBuffer the server's buffer, which sessions use in turn
     * @param nowMs the present time, in milliseconds
     */
    ManagementSession(
            ManagementServer server, StreamConnection accepted, Limits limits, ByteBuffer readBuffer, double nowMs) {
        this.server = server;
        // Not counted by the event loop: these descriptors are reserved, and client connections have no share in them.
        this.connection = new TcpConnection(accepted, this, () -> {});
        this.parser = new HttpRequestParser(limits.management().headBytes());
        this.readBuffer = readBuffer;
        this.maxReadsPerEvent = limits.sockets().maxReadsPerEvent();
        this.startedMs = nowMs;
    }

    /** Begins to read, at once with what has arrived. */
    void start() {
        connection.setReading(true);
        onReadable(connection);
    }

    /** When the connection was accepted, in milliseconds. */
    double startedMs() {
        return startedMs;
    }

    @Override
    public void onReadable(TcpConnection from) {
        for (int reads = 0; reads < maxReadsPerEvent && !connection.isClosed(); reads++) {
            readBuffer.clear();
            int count = connection.read(readBuffer);
            if (count < 0) {
                endOfInput();
            }
            if (count <= 0) {
                return;
            }
            if (!responded) {
                parse(readBuffer.flip());
            }
        }
    }

    private void endOfInput() {
        if (!responded || connection.queuedBytes() == 0) {
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

    /** The request was not complete in time, or its response was not read in time. */
    void onTimeout() {
        if (responded) {
            close();
        } else {
            respond(HttpResponse.text(408, "Request Timeout", "no whole call in time"));
        }
    }

    private void respond(HttpResponse response) {
        responded = true;
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
