package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import tulipshed.limits.SocketLimits;
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
    private final int maxReads;

    /** Creates a relay within the limits of relayed connections. */
    ClientRelay(ClientSession session, TcpConnection connection, UpstreamConnection upstream, SocketLimits limits) {
        this.session = session;
        this.connection = connection;
        this.upstream = upstream;
        this.maxQueuedBytes = limits.relayBytes();
        this.maxReads = limits.maxReadsPerEvent();
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

    /**
     * Reads the input of one event: no more than may be queued for the endpoint, and in a bounded number of reads, so that a
     * client that sends continuously cannot monopolize the event loop.
     */
    void read(ByteBuffer buffer) {
        StreamReader.read(connection, buffer, maxReads, this);
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
