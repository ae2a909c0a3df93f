package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import tulipshed.decision.api.Outcome;

/**
 * Reads one endpoint's input line by line, and no more of it than may be queued for the client. Confined to the event-loop
 * thread.
 */
final class EndpointReader implements StreamReader.Receiver {
    private final FrontendContext context;
    private final ClientSession client;
    private final UpstreamConnection upstream;
    private final CrlfDecoder decoder;
    private final int maxQueuedBytes;

    EndpointReader(FrontendContext context, ClientSession client, UpstreamConnection upstream) {
        this.context = context;
        this.client = client;
        this.upstream = upstream;
        this.decoder = new CrlfDecoder(context.limits().lineProtocol().maxLineBytes());
        this.maxQueuedBytes = context.limits().sockets().relayBytes();
    }

    /** Removes and returns the bytes of a line whose terminator has not arrived. */
    byte[] takePartialLine() {
        return decoder.takePartialLine();
    }

    @Override
    public boolean isReading() {
        return upstream.state() != UpstreamState.CLOSED;
    }

    /** At least 1 before the response has arrived: reading is only resumed for established connections. */
    @Override
    public int capacityBytes() {
        int capacityBytes = maxQueuedBytes - client.queuedBytes();
        return upstream.state() == UpstreamState.ESTABLISHED ? capacityBytes : Math.max(1, capacityBytes);
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        upstream.relay().onEndpointInput();
        readLines(bytes);
        upstream.relay().flushToClient();
    }

    private void readLines(ByteBuffer bytes) {
        while (isReading() && bytes.hasRemaining()) {
            try {
                byte[] line = nextLine(bytes);
                if (line != null) {
                    upstream.handleLine(line);
                }
            } catch (MalformedLineException e) {
                if (upstream.state() != UpstreamState.ESTABLISHED) {
                    context.upstreamErrors().record(e.getMessage());
                    upstream.end(Outcome.ERROR);
                    return;
                }
                // The line exceeds the limit: the bytes read so far are forwarded without being interpreted, and the
                // rest is decoded as a line of its own.
                upstream.relay().relayToClient(decoder.takePartialLine());
            }
        }
    }

    /** The client waits for a line that ends with CRLF, so a response without it must not establish the request. */
    private byte[] nextLine(ByteBuffer bytes) {
        return upstream.state() == UpstreamState.ESTABLISHED ? decoder.nextRelayed(bytes) : decoder.next(bytes);
    }

    @Override
    public void onEndOfStream() {
        upstream.onEndOfStream();
    }
}
