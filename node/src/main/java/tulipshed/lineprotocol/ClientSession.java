package tulipshed.lineprotocol;

import org.xnio.StreamConnection;
import tulipshed.transport.TcpConnection;

/**
 * The state machine of one client's connection, from its acceptance to its end: takes the events of the client, of its
 * endpoint and of timeouts, and passes each to the part whose concern it is. What has arrived from the client is read before
 * anything is decided against it. Confined to the event-loop thread.
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
    /** Null before an endpoint serves the request. */
    private ClientRelay relay;

    private boolean isInputEnded;

    /** Takes over an accepted connection; reads nothing before {@link #start}. */
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

    /** How far the connection has come. */
    ClientState state() {
        return state;
    }

    /** Records that the last line is about to be queued, or that the connection is about to be closed. */
    void markClosing() {
        state = ClientState.CLOSING;
    }

    /** Whether the client has ended its sending. */
    boolean isInputEnded() {
        return isInputEnded;
    }

    /** The connection of the latest attempt; null before the first one, and once it was abandoned. */
    UpstreamConnection upstream() {
        return request.upstream();
    }

    /** When the connection was taken over. */
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
                requestReader.readSome();
            }
        } catch (RuntimeException | Error e) {
            onDefect(e);
        }
    }

    /** Reads all that has arrived and was not notified yet: the client's end, or its open command. */
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

    /** Ends this connection alone after a defect of this program or a lack of memory, with a response where one is owed. */
    private void onDefect(Throwable defect) {
        context.recordDefect(defect);
        switch (state) {
            case OPENING, PENDING -> {
                if (request.hasArrived()) {
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
     * The open command has arrived.
     *
     * @throws MalformedLineException if its ID is that of another open request
     */
    void startRequest(OpenCommand command) {
        if (!closer.lease().claimId(command.id())) {
            // Endpoints would respond with a failure, one after the other.
            throw new MalformedLineException("the ID of an open request");
        }
        state = ClientState.PENDING;
        frontend.unservedConnections().openCommandReceived(this);
        request.start(command, frontend.origin(connection, command));
    }

    /** Fails a client that does not follow the protocol, and cancels its pending request. */
    void cancelMalformed(String reason) {
        request.cancel();
        responder.failMalformed(reason);
    }

    /** The client ended its sending. */
    void onEndOfStream() {
        connection.setReading(false);
        isInputEnded = true;
        switch (state) {
            case PENDING -> {
                request.cancel();
                // The client may have ended only its sending, and still read.
                responder.fail();
            }
            case RELAYING -> upstream().relay().onClientEndOfStream();
            case CLOSING -> closer.closeOnceWritten();
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

    /** The open command did not arrive in time. */
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

    /** Rejects the client for lack of capacity, whatever it has sent. */
    void rejectForOverload() {
        responder.reject(frontend.overloadRetryAfterMs());
    }

    /** Gives the descriptor up for a client that can be served, unless this one can: its open command may have arrived. */
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

    /** The endpoint serves the request: passes its response on, and relays both ways from now on. */
    void onEstablished(UpstreamConnection established, byte[] response) {
        request.established(established);
        relay = new ClientRelay(
                this, connection, established, context.limits().sockets().relayBytes());
        state = ClientState.RELAYING;
        relay.start(response, requestReader.earlyData());
    }

    /** Passes bytes of the endpoint on. */
    void sendFromEndpoint(byte[] bytes) {
        connection.write(bytes);
    }

    /** Bytes that wait to be written to the client. */
    int queuedBytes() {
        return connection.queuedBytes();
    }

    /** All that was queued for the endpoint has been written. */
    void onUpstreamWritten() {
        if (state == ClientState.RELAYING && !isInputEnded) {
            connection.setReading(true);
        }
    }

    /** The endpoint ended its sending. */
    void onUpstreamEndOfStream() {
        if (state == ClientState.RELAYING) {
            closer.beginClosing();
            closer.shutdownAndLinger();
        }
    }

    /** The endpoint's connection broke. */
    void onUpstreamBroken() {
        connection.abort();
        closer.close();
    }
}
