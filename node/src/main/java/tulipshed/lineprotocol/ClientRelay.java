package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import tulipshed.transport.TcpConnection;

/**
 * Passes one client's input on while an endpoint serves its request; takes no more of it than can be queued for the endpoint.
 * Confined to the event-loop thread.
 */
final class ClientRelay implements StreamReader.Receiver {
    private final ClientSession session;
    private final TcpConnection connection;
    private final UpstreamConnection upstream;
    private final int maxQueuedBytes;

    /** A relay to an endpoint for which at most that many bytes are queued. */
    ClientRelay(ClientSession session, TcpConnection connection, UpstreamConnection upstream, int maxQueuedBytes) {
        this.session = session;
        this.connection = connection;
        this.upstream = upstream;
        this.maxQueuedBytes = maxQueuedBytes;
    }

    /** Passes the endpoint's response on, and what the client sent before it. */
    void start(byte[] response, EarlyData earlyData) {
        connection.write(response);
        if (!earlyData.isEmpty()) {
            upstream.relay().sendToEndpoint(earlyData.toByteArray());
            earlyData.clear();
        }
        connection.setReading(true);
    }

    /** Reads all that the client has sent, as far as it can be queued for the endpoint. */
    void read(ByteBuffer buffer) {
        StreamReader.read(connection, buffer, StreamReader.UNLIMITED_READS, this);
    }

    @Override
    public boolean isReading() {
        return !connection.isClosed() && session.state() == ClientState.RELAYING;
    }

    @Override
    public int capacityBytes() {
        return maxQueuedBytes - upstream.queuedBytes();
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        upstream.relay().sendToEndpoint(copy);
    }

    @Override
    public void onEndOfStream() {
        session.onEndOfStream();
    }
}
