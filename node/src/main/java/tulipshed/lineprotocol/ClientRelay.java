package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import tulipshed.transport.TcpConnection;

/**
 * Forwards one client's input to the endpoint that serves its request, and reads no more of it than may be queued for the
 * endpoint. Confined to the event-loop thread.
 */
final class ClientRelay implements StreamReader.Receiver {
    private final ClientSession session;
    private final TcpConnection connection;
    private final UpstreamConnection upstream;
    private final int maxQueuedBytes;

    /** Creates a relay that queues at most {@code maxQueuedBytes} for the endpoint. */
    ClientRelay(ClientSession session, TcpConnection connection, UpstreamConnection upstream, int maxQueuedBytes) {
        this.session = session;
        this.connection = connection;
        this.upstream = upstream;
        this.maxQueuedBytes = maxQueuedBytes;
    }

    /** Forwards the endpoint's response to the client and the client's early data to the endpoint. */
    void start(byte[] response, EarlyData earlyData) {
        connection.write(response);
        if (!earlyData.isEmpty()) {
            upstream.relay().sendToEndpoint(earlyData.toByteArray());
            earlyData.clear();
        }
        connection.setReading(true);
    }

    /** Reads the available input of the client, up to the bytes that may be queued for the endpoint. */
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
