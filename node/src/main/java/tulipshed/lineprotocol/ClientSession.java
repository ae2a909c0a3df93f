package tulipshed.lineprotocol;

import org.xnio.StreamConnection;
import tulipshed.proxy.Attempt;
import tulipshed.proxy.ClientConnection;
import tulipshed.proxy.Request;
import tulipshed.proxy.UpstreamConnector;
import tulipshed.transport.TcpConnection;

/**
 * One client's connection from its acceptance to its end: reads the open command, awaits the response of the core, relays
 * to and from the endpoint, and closes. Also the connector of its request's attempts. What has arrived from the client is
 * read before anything is decided against it. Confined to the event-loop thread.
 */
final class ClientSession implements ClientConnection, UpstreamConnector, TcpConnection.Listener {
    /** How far the connection has come. */
    enum State {
        /** The open command is awaited. */
        OPENING,
        /** The request awaits its response. */
        PENDING,
        /** An endpoint serves the request. */
        RELAYING,
        /** The last line is queued or written; further input is dropped. */
        CLOSING
    }

    private final LineProtocolFrontend frontend;
    private final FrontendContext context;
    private final TcpConnection connection;
    private final RequestReader requestReader;
    private final double acceptedAtMs;
    private final ClientCloser closer;
    private State state = State.OPENING;
    private OpenCommand openCommand;
    private Request request;
    private UpstreamConnection upstream;
    private ClientRelay relay;
    private boolean isInputEnded;

    /** Takes over an accepted connection; reads nothing before {@link #start}. */
    ClientSession(LineProtocolFrontend frontend, StreamConnection accepted) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.connection = context.eventLoop().register(accepted, this);
        this.requestReader = new RequestReader(frontend, this, connection);
        this.acceptedAtMs = context.clock().nowMs();
        this.closer = new ClientCloser(frontend, this, connection);
    }

    /** Starts reading. */
    void start() {
        connection.setReading(true);
        onReadable(connection);
    }

    /** How far the connection has come. */
    State state() {
        return state;
    }

    /** Whether the client has ended its sending. */
    boolean isInputEnded() {
        return isInputEnded;
    }

    /** The connection of the latest attempt; null before the first one, and once it was abandoned. */
    UpstreamConnection upstream() {
        return upstream;
    }

    /** When the connection was taken over. */
    double acceptedAtMs() {
        return acceptedAtMs;
    }

    /** The client's open command; null before it has arrived. */
    OpenCommand openCommand() {
        return openCommand;
    }

    // ---- Input of the client ----

    @Override
    public void onReadable(TcpConnection from) {
        try {
            if (state == State.RELAYING) {
                StreamReader.read(connection, context.readBuffer(), StreamReader.UNLIMITED_READS, relay);
            } else {
                readSome();
            }
        } catch (RuntimeException e) {
            onDefect(e);
        }
    }

    /**
     * Reads all that has arrived and was not notified yet: the client's end, or its open command. What a client may send
     * before its response is bounded, so that this ends; what comes after the response is not, and is left to the next event.
     */
    void readAvailableInput() {
        if (state == State.RELAYING || connection.isClosed()) {
            return;
        }
        try {
            boolean mayHaveMore = true;
            while (mayHaveMore) {
                mayHaveMore = readSome() && state != State.CLOSING;
            }
        } catch (RuntimeException e) {
            onDefect(e);
        }
    }

    /**
     * Reads outside of a relay; returns whether there may be more. A client that sends without end must not keep the event
     * loop to itself.
     */
    private boolean readSome() {
        int maxReads = context.limits().sockets().maxReadsPerEvent();
        return StreamReader.read(connection, context.readBuffer(), maxReads, requestReader);
    }

    /** Ends this connection alone after a defect of this program, with a response where one is owed. */
    private void onDefect(RuntimeException defect) {
        context.recordDefect(defect);
        switch (state) {
            case OPENING, PENDING -> {
                if (request != null) {
                    context.core().clientDisconnected(request);
                }
                fail();
            }
            case RELAYING -> {
                upstream.onClientBroken();
                onUpstreamBroken();
            }
            default -> close();
        }
    }

    /**
     * The open command has arrived.
     *
     * @throws MalformedLineException if its ID is that of another open request
     */
    void startRequest(OpenCommand command) {
        openCommand = command;
        if (!closer.lease().claimId(command.id())) {
            // Endpoints would respond with a failure, one after the other.
            throw new MalformedLineException("the ID of an open request");
        }
        state = State.PENDING;
        frontend.unservedConnections().openCommandReceived(this);
        Request arrived = new Request(
                this,
                this,
                command.attributes(),
                frontend.origin(connection, command),
                context.clock().nowMs(),
                command.isAdopted());
        if (command.isAdopted()) {
            context.core().adoptConnection(arrived, command.adoptedFrom());
        } else {
            context.core().requestArrived(arrived);
        }
        request = arrived;
    }

    /** Fails a client that does not follow the protocol, and cancels its pending request. */
    void cancelMalformed(String reason) {
        context.core().clientDisconnected(request);
        failMalformed(reason);
    }

    /** Fails a client that does not follow the protocol; the reason must not quote it. */
    void failMalformed(String reason) {
        context.clientErrors().record(reason);
        fail();
    }

    /** The client ended its sending. */
    void onEndOfStream() {
        connection.setReading(false);
        isInputEnded = true;
        switch (state) {
            case PENDING -> {
                context.core().clientDisconnected(request);
                // The client may have ended only its sending, and still read.
                fail();
            }
            case RELAYING -> upstream.onClientEndOfStream();
            case CLOSING -> closeOnceWritten();
            default -> close();
        }
    }

    /** Nothing more comes from the client, but it may not have read all that is queued for it. */
    private void closeOnceWritten() {
        if (connection.queuedBytes() == 0) {
            close();
        }
    }

    @Override
    public void onBroken(TcpConnection from) {
        switch (state) {
            case PENDING -> context.core().clientDisconnected(request);
            case RELAYING -> upstream.onClientBroken();
            default -> {}
        }
        close();
    }

    // ---- Timeouts and eviction ----

    /** The open command did not arrive in time. */
    void onOpenTimeout() {
        if (isStillOpening()) {
            failMalformed("no open command in time");
        }
    }

    /** Rejects the client unless its open command has arrived. */
    void rejectIfOpening() {
        if (isStillOpening()) {
            reject(frontend.overloadRetryAfterMs());
        }
    }

    /** Gives the descriptor up for a client that can be served, unless this one can: its open command may have arrived. */
    void evict() {
        rejectIfOpening();
        if (state == State.CLOSING) {
            close();
        }
    }

    private boolean isStillOpening() {
        readAvailableInput();
        return state == State.OPENING;
    }

    // ---- Final responses and closing ----

    @Override
    public void reject(double retryAfterMs) {
        sendLastLine(WireMessages.rejected(retryAfterMs));
    }

    @Override
    public void fail() {
        sendLastLine(WireMessages.FAILED);
    }

    @Override
    public void migrate() {
        if (state == State.RELAYING) {
            upstream.abandon();
            // Only complete lines are ever queued for the client, so this one comes between two of them.
            sendLastLine(WireMessages.MIGRATE);
        }
    }

    /** Sends a last line, and closes once the client has read it or the linger timeout has expired. */
    private void sendLastLine(byte[] line) {
        if (state != State.CLOSING) {
            beginClosing();
            connection.write(line);
            closer.shutdownAndLinger();
        }
    }

    /** The request needs nothing more of the client; its ID is available again. */
    private void beginClosing() {
        state = State.CLOSING;
        closer.lease().releaseId();
    }

    /** Closes at once. */
    void close() {
        state = State.CLOSING;
        closer.close();
    }

    @Override
    public void onWritten(TcpConnection from) {
        if (state == State.RELAYING) {
            upstream.onClientWritten();
        } else if (state == State.CLOSING && isInputEnded) {
            close();
        }
    }

    // ---- Attempts ----

    @Override
    public void open(Attempt attempt) {
        readAvailableInput();
        if (state != State.PENDING) {
            // The client has gone; the core has just been notified, and abandons the attempt.
            return;
        }
        upstream = new UpstreamConnection(frontend, this, attempt);
        upstream.connect();
    }

    @Override
    public void abandon(Attempt attempt) {
        if (upstream != null && upstream.attempt() == attempt) {
            upstream.abandon();
            upstream = null;
        }
    }

    // ---- Relay ----

    /** The endpoint serves the request: passes its response on, and relays both ways from now on. */
    void onEstablished(UpstreamConnection established, byte[] response) {
        upstream = established;
        relay = new ClientRelay(
                this, connection, established, context.limits().sockets().relayBytes());
        state = State.RELAYING;
        connection.write(response);
        EarlyData earlyData = requestReader.earlyData();
        if (!earlyData.isEmpty()) {
            upstream.sendFromClient(earlyData.toByteArray());
            earlyData.clear();
        }
        connection.setReading(true);
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
        if (state == State.RELAYING && !isInputEnded) {
            connection.setReading(true);
        }
    }

    /** The endpoint ended its sending. */
    void onUpstreamEndOfStream() {
        if (state == State.RELAYING) {
            beginClosing();
            closer.shutdownAndLinger();
        }
    }

    /** The endpoint's connection broke. */
    void onUpstreamBroken() {
        connection.abort();
        close();
    }
}
