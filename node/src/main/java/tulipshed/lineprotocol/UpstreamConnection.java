package tulipshed.lineprotocol;

import java.util.OptionalDouble;
import org.xnio.StreamConnection;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;
import tulipshed.transport.TcpConnection;

/**
 * The state machine of one attempt's connection to its endpoint: takes the events of the endpoint and of the client, and
 * passes each to the part whose concern it is. The core is notified of its end once. Confined to the event-loop thread.
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

    /** The attempt that this connection serves. */
    Attempt attempt() {
        return attempt;
    }

    /** How far the connection has come. */
    UpstreamState state() {
        return state;
    }

    /** The connection itself; null before it is made. */
    TcpConnection connection() {
        return connection;
    }

    /** What is passed between the client and the endpoint once it serves the request. */
    UpstreamRelay relay() {
        return relay;
    }

    /** Bytes that wait to be written to the endpoint. */
    int queuedBytes() {
        return connection == null ? 0 : connection.queuedBytes();
    }

    // ---- Connecting and forwarding ----

    /** Starts connecting. */
    void connect() {
        dialer.dial();
    }

    /** The connection is made: forwards the open command, if that may still be. */
    void onConnected(StreamConnection connected) {
        connection = context.eventLoop().register(connected, this);
        // The client's end may have arrived together with this event, and not have been notified yet.
        client.readAvailableInput();
        if (state != UpstreamState.CONNECTING || !context.core().mayForward(attempt)) {
            connection.close();
            // That the client has gone says nothing of the endpoint.
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

    /** The endpoint serves the request. */
    void onEstablished(byte[] response) {
        state = UpstreamState.ESTABLISHED;
        frontend.upstreamEstablished(this);
        client.onEstablished(this, response);
    }

    // ---- Input of the endpoint ----

    @Override
    public void onReadable(TcpConnection from) {
        if (state == UpstreamState.AWAITING_RESPONSE) {
            // A client that has gone is not established, and what it sent early goes nowhere.
            client.readAvailableInput();
        }
        StreamReader.read(connection, context.readBuffer(), StreamReader.UNLIMITED_READS, endpointReader);
    }

    /** One complete line has arrived, a response or what follows it. */
    void handleLine(byte[] line) {
        EndpointMessage message = EndpointMessage.parse(line);
        OptionalDouble value = reports.received(message);
        if (state == UpstreamState.ESTABLISHED) {
            relay.sendToClient(line, value);
        } else {
            handshake.onResponse(message, line);
        }
    }

    /** The endpoint ended its sending. */
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
            // Without the last byte of the open command the endpoint cannot have run the request.
            end(connection.queuedBytes() > 0 ? Outcome.CONNECT_FAILED : Outcome.RESET);
        }
    }

    // ---- Events of the client ----

    /** All that was queued for the client has been written. */
    void onClientWritten() {
        if (state == UpstreamState.ESTABLISHED) {
            connection.setReading(true);
        }
    }

    /** The client's connection broke. */
    void onClientBroken() {
        if (state == UpstreamState.ESTABLISHED) {
            connection.abort();
            end(Outcome.CANCELLED);
        }
    }

    // ---- Closing ----

    /** Closes without notifying the core, and gives up a connection that is being made. */
    void abandon() {
        close();
        dialer.abandon();
    }

    /** Closes without notifying the core. */
    void close() {
        state = UpstreamState.CLOSED;
        frontend.upstreamClosed(this);
        if (connection != null) {
            connection.close();
        }
    }

    /** Closes and notifies the core, unless that was done. */
    void end(Outcome outcome) {
        if (state != UpstreamState.CLOSED) {
            close();
            context.core().attemptEnded(attempt, outcome, reports.finalReport());
        }
    }
}
