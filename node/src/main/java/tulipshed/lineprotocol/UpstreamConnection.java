package tulipshed.lineprotocol;

import java.util.OptionalDouble;
import org.xnio.StreamConnection;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;
import tulipshed.transport.TcpConnection;

/**
 * The state machine of one attempt's connection to its endpoint: dispatches the events of the endpoint and of the client to
 * the objects that handle them. Notifies the core of its end at most once: not if it is abandoned or closed on the core's
 * behalf. Confined to the event-loop thread.
 */
final class UpstreamConnection implements TcpConnection.Listener {
    private final LineProtocolFrontend frontend;
    private final FrontendContext context;
    private final ClientSession client;
    private final Attempt attempt;
    private final UpstreamDialer dialer;
    private final UpstreamHandshake handshake;
    private final UpstreamRelay relay;
    private final EndpointReader endpointReader;
    private final EndpointReports reports;
    private UpstreamState state = UpstreamState.CONNECTING;
    private TcpConnection connection;

    UpstreamConnection(LineProtocolFrontend frontend, ClientSession client, OpenCommand openCommand, Attempt attempt) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.client = client;
        this.attempt = attempt;
        this.dialer = new UpstreamDialer(frontend, client, this);
        this.handshake = new UpstreamHandshake(context, this, openCommand);
        this.relay = new UpstreamRelay(frontend, client, this);
        this.endpointReader = new EndpointReader(context, client, this);
        this.reports = new EndpointReports(context);
    }

    /** The attempt that uses this connection. */
    Attempt attempt() {
        return attempt;
    }

    /** The current state of the connection. */
    UpstreamState state() {
        return state;
    }

    /** The TCP connection; null until it is made. */
    TcpConnection connection() {
        return connection;
    }

    /** The relay between the client and the endpoint, used once the endpoint serves the request. */
    UpstreamRelay relay() {
        return relay;
    }

    /** The number of bytes queued for the endpoint. */
    int queuedBytes() {
        return connection == null ? 0 : connection.queuedBytes();
    }

    // ---- Connecting and forwarding ----

    /** Starts connecting. */
    void connect() {
        dialer.dial();
    }

    /** Forwards the open command over the new connection, if the core still allows it. */
    void onConnected(StreamConnection connected) {
        connection = context.eventLoop().register(connected, this);
        // The client's end of stream may have arrived with this event and not have been delivered yet.
        client.readAvailableInput();
        if (state != UpstreamState.CONNECTING || !context.core().mayForward(attempt)) {
            connection.close();
            // A disconnected client must not count against the endpoint.
            end(attempt.request().isPending() ? Outcome.CONNECT_FAILED : Outcome.CANCELLED);
            return;
        }
        state = UpstreamState.AWAITING_RESPONSE;
        connection.write(handshake.forwardedLine());
        context.upstreamLog()
                .tracef(
                        "open command sent to %s, bytes queued: %d",
                        attempt.endpoint().id(), connection.queuedBytes());
        connection.setReading(true);
    }

    @Override
    public void onWritten(TcpConnection from) {
        if (state == UpstreamState.AWAITING_RESPONSE) {
            handshake.onWritten();
        }
        client.onUpstreamWritten();
    }

    /** Marks the connection as established, since the endpoint serves the request. */
    void onEstablished(byte[] response) {
        state = UpstreamState.ESTABLISHED;
        frontend.upstreamEstablished(this);
        client.onEstablished(this, response);
    }

    // ---- Input of the endpoint ----

    @Override
    public void onReadable(TcpConnection from) {
        if (state == UpstreamState.AWAITING_RESPONSE) {
            // The request of a disconnected client must not become established, nor may its early data be forwarded.
            client.readAvailableInput();
        }
        int maxReads = context.limits().sockets().maxReadsPerEvent();
        StreamReader.read(connection, context.readBuffer(), maxReads, endpointReader);
    }

    /** Handles one line: the response to the open command, or a line to relay once the connection is established. */
    void handleLine(byte[] line) {
        EndpointMessage message = EndpointMessage.parse(line);
        OptionalDouble value = reports.processMessage(message);
        if (state == UpstreamState.ESTABLISHED) {
            relay.relayToClient(line, value);
        } else {
            handshake.onResponse(message, line);
        }
    }

    /** Handles the end of the endpoint's output. */
    void onEndOfStream() {
        connection.setReading(false);
        if (state == UpstreamState.ESTABLISHED) {
            client.sendFromEndpoint(endpointReader.takePartialLine());
            client.onUpstreamEndOfStream();
        }
        end(reports.outcomeAtEnd(relay.isClientInputEnded() ? Outcome.CANCELLED : Outcome.RESET));
    }

    @Override
    public void onBroken(TcpConnection from) {
        if (state == UpstreamState.ESTABLISHED) {
            client.onUpstreamBroken();
            end(reports.outcomeAtEnd(Outcome.RESET));
        } else {
            // The endpoint cannot have started the request without the last byte of the open command.
            end(connection.queuedBytes() > 0 ? Outcome.CONNECT_FAILED : Outcome.RESET);
        }
    }

    // ---- Events of the client ----

    /** Resumes reading from the endpoint after all bytes queued for the client have been written. */
    void onClientWritten() {
        if (state == UpstreamState.ESTABLISHED) {
            connection.setReading(true);
        }
    }

    /** Handles a failure of the client's connection. */
    void onClientBroken() {
        if (state == UpstreamState.ESTABLISHED) {
            connection.abort();
            end(Outcome.CANCELLED);
        }
    }

    // ---- Closing ----

    /** Closes without notifying the core and abandons a connection attempt in progress. */
    void abandon() {
        close();
        dialer.abandon();
    }

    /** Closes without notifying the core. */
    void close() {
        state = UpstreamState.CLOSED;
        relay.onClosed();
        frontend.upstreamClosed(this);
        if (connection != null) {
            connection.close();
        }
    }

    /** Closes and notifies the core, unless the connection is closed already. */
    void end(Outcome outcome) {
        if (state != UpstreamState.CLOSED) {
            close();
            context.core().attemptEnded(attempt, outcome, reports.finalReport());
        }
    }
}
