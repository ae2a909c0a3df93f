package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import tulipshed.decision.api.Outcome;

/**
 * Reads one endpoint's input line by line, and takes no more of it than can be queued for the client. Confined to the
 * event-loop thread.
 */
final class EndpointReader implements StreamReader.Receiver {
    private final ClientSession client;
    private final UpstreamConnection upstream;
    private final CrlfDecoder decoder;
    private final int maxQueuedBytes;

    EndpointReader(FrontendContext context, ClientSession client, UpstreamConnection upstream) {
        this.client = client;
        this.upstream = upstream;
        this.decoder = new CrlfDecoder(context.limits().lineProtocol().maxLineBytes());
        this.maxQueuedBytes = context.limits().sockets().relayBytes();
    }

    /** The bytes of a line whose end has not been read; they are not kept any more. */
    byte[] takePartialLine() {
        return decoder.takePartialLine();
    }

    @Override
    public boolean isReading() {
        return upstream.state() != UpstreamState.CLOSED;
    }

    /** A response is read in any case: reading would not be resumed for it. */
    @Override
    public int capacityBytes() {
        int capacityBytes = maxQueuedBytes - client.queuedBytes();
        return upstream.state() == UpstreamState.ESTABLISHED ? capacityBytes : Math.max(1, capacityBytes);
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        upstream.relay().onInputOfEndpoint();
        while (isReading() && bytes.hasRemaining()) {
            try {
                byte[] line = decoder.next(bytes);
                if (line != null) {
                    upstream.handleLine(line);
                }
            } catch (MalformedLineException e) {
                if (upstream.state() != UpstreamState.ESTABLISHED) {
                    upstream.end(Outcome.ERROR);
                    return;
                }
                // Longer than this protocol allows; what the client and the endpoint make of it is theirs.
                client.sendFromEndpoint(decoder.takePartialLine());
            }
        }
    }

    @Override
    public void onEndOfStream() {
        upstream.onEndOfStream();
    }
}
