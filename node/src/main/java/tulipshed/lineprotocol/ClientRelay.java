package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import tulipshed.transport.TcpConnection;

/**
 * Reads one client's input while an endpoint serves its request; takes no more of it than can be queued for the endpoint.
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

    @Override
    public boolean isReading() {
        return !connection.isClosed() && session.state() == ClientSession.State.RELAYING;
    }

    @Override
    public int capacityBytes() {
        return maxQueuedBytes - upstream.queuedBytes();
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        upstream.sendFromClient(copy);
    }

    @Override
    public void onEndOfStream() {
        session.onEndOfStream();
    }
}
