package tulipshed.lineprotocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.OptionalDouble;
import org.xnio.StreamConnection;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.proxy.Attempt;
import tulipshed.transport.ConnectFailures;
import tulipshed.transport.TcpConnection;
import tulipshed.transport.XnioEventLoop;

/**
 * The connection of one attempt to its endpoint: connects, forwards the open command, awaits the response, and relays once
 * the endpoint serves the request. The core is notified of its end once. Confined to the event-loop thread.
 */
final class UpstreamConnection implements TcpConnection.Listener {
    private enum State {
        /** The connection is being made. */
        CONNECTING,
        /** The open command was sent; the response is awaited. */
        AWAITING_RESPONSE,
        /** The endpoint serves the request. */
        ESTABLISHED,
        /** Ended or abandoned. */
        CLOSED
    }

    private final LineProtocolFrontend frontend;
    private final FrontendContext context;
    private final ClientSession client;
    private final Attempt attempt;
    private final CrlfDecoder decoder;
    private final EndpointReports reports;
    private final InactivityDetector inactivityDetector;
    private final RedialBackoff redialBackoff;
    private final StreamReader.Receiver endpointInput = new EndpointInput();
    private State state = State.CONNECTING;
    private XnioEventLoop.PendingConnection pendingConnection;
    private TcpConnection connection;
    private boolean isForwarded;
    private boolean isClientInputEnded;

    UpstreamConnection(LineProtocolFrontend frontend, ClientSession client, Attempt attempt) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.client = client;
        this.attempt = attempt;
        this.redialBackoff = new RedialBackoff(context.limits().lineProtocol());
        this.decoder = new CrlfDecoder(context.limits().lineProtocol().lineBytes());
        this.reports = new EndpointReports(context);
        this.inactivityDetector =
                new InactivityDetector(context.limits().requests().endpointTimeoutMs());
    }

    /** The attempt that this connection serves. */
    Attempt attempt() {
        return attempt;
    }

    // ---- Connecting and forwarding ----

    /** Starts connecting. */
    void connect() {
        if (!frontend.ensureUpstreamCapacity()) {
            // Descriptors of this node ran out, which says nothing of the endpoint.
            end(Outcome.UNUSED);
            return;
        }
        pendingConnection =
                context.eventLoop().connect(attempt.endpoint().address(), this::onConnected, this::onConnectFailed);
    }

    private void onConnectFailed(IOException reason) {
        if (!ConnectFailures.isLocal(reason)) {
            end(Outcome.CONNECT_FAILED);
            return;
        }
        OptionalDouble delayMs = redialBackoff.nextDelayMs(attempt.remainingWaitMs(nowMs()));
        if (delayMs.isPresent()) {
            context.eventLoop().schedule(delayMs.getAsDouble(), this::redial);
        } else {
            end(Outcome.UNUSED);
        }
    }

    /** Connects again for the same attempt, unless it was abandoned or its client has gone. */
    private void redial() {
        client.readAvailableInput();
        if (state == State.CONNECTING && attempt.request().isPending()) {
            connect();
        }
    }

    private void onConnected(StreamConnection connected) {
        connection = context.eventLoop().register(connected, this);
        // The client's end may have arrived together with this event, and not have been notified yet.
        client.readAvailableInput();
        if (state != State.CONNECTING || !context.core().mayForward(attempt)) {
            connection.close();
            // That the client has gone says nothing of the endpoint.
            end(attempt.request().isPending() ? Outcome.CONNECT_FAILED : Outcome.CANCELLED);
            return;
        }
        state = State.AWAITING_RESPONSE;
        connection.write(client.openCommand().forwardedLine(remainingWaitMs()));
        connection.setReading(true);
    }

    private double remainingWaitMs() {
        return client.openCommand().isAdopted()
                ? attempt.request().deadlineMs() - nowMs()
                : attempt.remainingWaitMs(nowMs());
    }

    private double nowMs() {
        return context.clock().nowMs();
    }

    // ---- Closing ----

    /** Closes without notifying the core. */
    void abandon() {
        close();
        if (pendingConnection != null) {
            pendingConnection.abandon();
        }
    }

    private void close() {
        state = State.CLOSED;
        frontend.upstreamClosed(this);
        if (connection != null) {
            connection.close();
        }
    }

    /** Closes and notifies the core, unless that was done. */
    private void end(Outcome outcome) {
        if (state != State.CLOSED) {
            close();
            context.core().attemptEnded(attempt, outcome, reports.finalReport());
        }
    }

    // ---- Input of the endpoint ----

    @Override
    public void onReadable(TcpConnection from) {
        if (state == State.AWAITING_RESPONSE) {
            // A client that has gone is not established, and what it sent early goes nowhere.
            client.readAvailableInput();
        }
        StreamReader.read(connection, context.readBuffer(), StreamReader.UNLIMITED_READS, endpointInput);
    }

    /** All input of the endpoint; while it serves, no more is taken than can be queued for the client. */
    private final class EndpointInput implements StreamReader.Receiver {
        @Override
        public boolean isReading() {
            return state != State.CLOSED;
        }

        @Override
        public int capacityBytes() {
            int capacityBytes = context.limits().sockets().relayBytes() - client.queuedBytes();
            return state == State.ESTABLISHED ? capacityBytes : Math.max(1, capacityBytes);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            readLines(bytes);
        }

        @Override
        public void onEndOfStream() {
            UpstreamConnection.this.onEndOfStream();
        }
    }

    private void readLines(ByteBuffer in) {
        inactivityDetector.responseReceived();
        while (state != State.CLOSED && in.hasRemaining()) {
            try {
                byte[] line = decoder.next(in);
                if (line != null) {
                    handleLine(line);
                }
            } catch (MalformedLineException e) {
                if (state != State.ESTABLISHED) {
                    end(Outcome.ERROR);
                    return;
                }
                // Longer than this protocol allows; what the client and the endpoint make of it is theirs.
                client.sendFromEndpoint(decoder.takePartialLine());
            }
        }
    }

    private void handleLine(byte[] line) {
        EndpointMessage message = EndpointMessage.parse(line);
        OptionalDouble value = reports.received(message);
        if (state == State.ESTABLISHED) {
            value.ifPresent(this::reportValue);
            // Last, as it ends this attempt where the client's connection breaks.
            client.sendFromEndpoint(line);
        } else {
            handleResponse(message, line);
        }
    }

    /** One message has two meanings: where the settings say that endpoints report latency, its value is milliseconds. */
    private void reportValue(double value) {
        if (frontend.loadReportsLatency()) {
            context.core().latencyReported(attempt, value);
        } else {
            context.core().loadReported(attempt, value);
        }
    }

    private void handleResponse(EndpointMessage message, byte[] line) {
        switch (message.kind()) {
            case ESTABLISHED -> establish(line);
            case REJECTED -> end(Outcome.FULL);
            case FAILED -> end(Outcome.ERROR);
            case COMPLETED, MIGRATING -> {
                // Announces how the attempt ends; its end follows.
            }
            default -> {
                context.upstreamErrors().record("an unexpected response");
                end(Outcome.ERROR);
            }
        }
    }

    private void establish(byte[] response) {
        if (context.core().attemptEstablished(attempt)) {
            state = State.ESTABLISHED;
            frontend.upstreamEstablished(this);
            client.onEstablished(this, response);
        } else {
            close();
        }
    }

    private void onEndOfStream() {
        connection.setReading(false);
        if (state == State.ESTABLISHED) {
            client.sendFromEndpoint(decoder.takePartialLine());
            client.onUpstreamEndOfStream();
        }
        end(reports.outcomeAtEnd(isClientInputEnded ? Outcome.CANCELLED : Outcome.RESET));
    }

    @Override
    public void onBroken(TcpConnection from) {
        if (state == State.ESTABLISHED) {
            client.onUpstreamBroken();
            end(reports.outcomeAtEnd(Outcome.RESET));
        } else {
            // Without the last byte of the open command the endpoint cannot have run the request.
            end(connection.queuedBytes() > 0 ? Outcome.CONNECT_FAILED : Outcome.RESET);
        }
    }

    // ---- Relay ----

    /** Bytes that wait to be written to the endpoint. */
    int queuedBytes() {
        return connection == null ? 0 : connection.queuedBytes();
    }

    /** Passes bytes of the client on. */
    void sendFromClient(byte[] bytes) {
        inactivityDetector.requestSent(nowMs());
        connection.write(bytes);
    }

    /** Notifies the core if the endpoint does not respond any more: it may be lost without its connection's end. */
    void checkInactivity(double nowMs) {
        if (inactivityDetector.isUnresponsive(nowMs)) {
            context.core().endpointUnresponsive(attempt);
        }
    }

    @Override
    public void onWritten(TcpConnection from) {
        if (state == State.AWAITING_RESPONSE && !isForwarded) {
            isForwarded = true;
            context.core().attemptForwarded();
        }
        client.onUpstreamWritten();
    }

    /** All that was queued for the client has been written. */
    void onClientWritten() {
        if (state == State.ESTABLISHED) {
            connection.setReading(true);
        }
    }

    /** The client ended its sending: so does this side, and awaits the endpoint's end until the linger timeout. */
    void onClientEndOfStream() {
        isClientInputEnded = true;
        connection.shutdownOutput();
        context.eventLoop().schedule(context.limits().sockets().lingerTimeoutMs(), this::onLingerTimeout);
    }

    private void onLingerTimeout() {
        if (state == State.ESTABLISHED) {
            client.onUpstreamEndOfStream();
            end(Outcome.CANCELLED);
        }
    }

    /** The client's connection broke. */
    void onClientBroken() {
        if (state == State.ESTABLISHED) {
            connection.abort();
            end(Outcome.CANCELLED);
        }
    }
}
