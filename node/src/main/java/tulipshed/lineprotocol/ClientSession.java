package tulipshed.lineprotocol;

import org.xnio.StreamConnection;
import tulipshed.transport.TcpConnection;

/**
 * The state machine of one client connection, from its acceptance to its end: dispatches the events of the client, of its
 * endpoint and of timeouts to the objects that handle them. Input that has already arrived is read before a client that is
 * still opening times out, is rejected or is evicted; {@link #rejectForOverload} and the core's rejections and failures read
 * nothing first. Confined to the event-loop thread.
 */
final class ClientSession implements TcpConnection.Listener {
    private final LineProtocolFrontend frontend;
    private final FrontendContext context;
    private final TcpConnection connection;
    private final RequestReader requestReader;
    private final ClientRequest request;
    private final ClientResponder responder;
    private final ClientCloser closer;
    private final double acceptedAtMs;
    private ClientState state = ClientState.OPENING;
    /** Null until an endpoint serves the request. */
    private ClientRelay relay;

    private boolean isInputEnded;

    /** Registers an accepted connection with the event loop; nothing is read before {@link #start}. */
    ClientSession(LineProtocolFrontend frontend, StreamConnection accepted) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.connection = context.eventLoop().register(accepted, this);
        this.acceptedAtMs = context.clock().nowMs();
        this.closer = new ClientCloser(frontend, this, connection);
        this.responder = new ClientResponder(context, this, connection, closer);
        this.request = new ClientRequest(frontend, this, responder);
        this.requestReader = new RequestReader(frontend, this, connection, responder);
    }

    /** Starts reading. */
    void start() {
        connection.setReading(true);
        onReadable(connection);
    }

    /** The current state of the connection. */
    ClientState state() {
        return state;
    }

    /** Marks the session as closing, before the last line is queued or the connection is closed. */
    void markClosing() {
        state = ClientState.CLOSING;
    }

    /** Whether the ID of the request must not be used again for some time, see {@link ClientRequest#forbidsRepetition}. */
    boolean forbidsRepetition() {
        return request.forbidsRepetition();
    }

    /** Whether the client has ended its output. */
    boolean isInputEnded() {
        return isInputEnded;
    }

    /** The connection of the latest attempt; null before the first attempt and after the core abandoned the latest one. */
    UpstreamConnection upstream() {
        return request.upstream();
    }

    /** The monotonic time at which the connection was accepted, in milliseconds. */
    double acceptedAtMs() {
        return acceptedAtMs;
    }

    // ---- Input of the client ----

    @Override
    public void onReadable(TcpConnection from) {
        try {
            if (state == ClientState.RELAYING) {
                relay.read(context.readBuffer());
            } else {
                requestReader.readBounded();
            }
        } catch (RuntimeException | Error e) {
            onDefect(e);
        }
    }

    /** Reads input that has arrived but whose event has not been delivered yet: an end of stream or an open command. */
    void readAvailableInput() {
        if (state == ClientState.RELAYING || connection.isClosed()) {
            return;
        }
        try {
            requestReader.readAvailable();
        } catch (RuntimeException | Error e) {
            onDefect(e);
        }
    }

    /**
     * Closes only this connection after a defect of this program or a lack of memory; sends a final response if none was
     * sent.
     */
    private void onDefect(Throwable defect) {
        context.recordDefect(defect);
        switch (state) {
            case OPENING, PENDING -> {
                if (request.isRegistered()) {
                    request.cancel();
                }
                responder.fail();
            }
            case RELAYING -> {
                upstream().onClientBroken();
                onUpstreamBroken();
            }
            default -> closer.close();
        }
    }

    /**
     * Starts the request of an open command.
     *
     * @throws MalformedLineException if its ID is that of another open request, or of one that may have executed
     */
    void startRequest(OpenCommand command) {
        if (!closer.registration().claimId(command.id())) {
            // Otherwise the request would be retried on one endpoint after another, and each would fail it.
            throw new MalformedLineException("an ID of a request that is open or may have executed");
        }
        state = ClientState.PENDING;
        frontend.unservedConnections().removeOpening(this);
        request.start(command, frontend.origin(connection, command));
    }

    /** Fails a client that violates the protocol and cancels its pending request. */
    void cancelMalformed(String reason) {
        request.cancel();
        responder.failMalformed(reason);
    }

    /** Handles the end of the client's output. */
    void onEndOfStream() {
        connection.setReading(false);
        isInputEnded = true;
        switch (state) {
            case PENDING -> {
                request.cancel();
                // The client may have shut down only its output and still read.
                responder.fail();
            }
            case RELAYING -> upstream().relay().onClientEndOfStream();
            case CLOSING -> closer.closeIfWritten();
            default -> closer.close();
        }
    }

    @Override
    public void onBroken(TcpConnection from) {
        switch (state) {
            case PENDING -> request.cancel();
            case RELAYING -> upstream().onClientBroken();
            default -> {}
        }
        closer.close();
    }

    @Override
    public void onWritten(TcpConnection from) {
        if (state == ClientState.RELAYING) {
            upstream().onClientWritten();
        } else if (state == ClientState.CLOSING && isInputEnded) {
            closer.close();
        }
    }

    // ---- Timeouts and eviction ----

    /** Fails the client if its open command did not arrive in time. */
    void onOpenTimeout() {
        if (isStillOpening()) {
            responder.failMalformed("no open command in time");
        }
    }

    /** Rejects the client unless its open command has arrived. */
    void rejectIfOpening() {
        if (isStillOpening()) {
            rejectForOverload();
        }
    }

    /** Rejects the client for lack of capacity, without reading its input first. */
    void rejectForOverload() {
        responder.reject(frontend.overloadRetryAfterMs());
    }

    /**
     * Closes an unserved connection to free its descriptor for another client or an upstream connection; keeps it if its open
     * command has arrived in the meantime.
     */
    void evict() {
        rejectIfOpening();
        if (state == ClientState.CLOSING) {
            closer.close();
        }
    }

    private boolean isStillOpening() {
        readAvailableInput();
        return state == ClientState.OPENING;
    }

    // ---- Relay ----

    /** Forwards the response of the endpoint that serves the request and starts relaying in both directions. */
    void onEstablished(UpstreamConnection established, byte[] response) {
        request.setEstablished(established);
        relay = new ClientRelay(this, connection, established, context.limits().sockets());
        state = ClientState.RELAYING;
        relay.start(response, requestReader.earlyData());
    }

    /** Queues bytes of the endpoint for the client. */
    void sendFromEndpoint(byte[] bytes) {
        connection.write(bytes);
    }

    /** The number of bytes queued for the client. */
    int queuedBytes() {
        return connection.queuedBytes();
    }

    /** Resumes reading from the client after all bytes queued for the endpoint have been written. */
    void onUpstreamWritten() {
        if (state == ClientState.RELAYING && !isInputEnded) {
            connection.setReading(true);
        }
    }

    /** Closes the connection gracefully after the endpoint has ended its output. */
    void onUpstreamEndOfStream() {
        if (state == ClientState.RELAYING) {
            closer.beginClosing();
            closer.shutdownAndLinger();
        }
    }

    /** Resets the client's connection after the endpoint's connection has failed. */
    void onUpstreamBroken() {
        connection.abort();
        closer.close();
    }
}
