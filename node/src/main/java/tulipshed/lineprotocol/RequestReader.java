package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.Arrays;
import tulipshed.limits.LineProtocolLimits;
import tulipshed.transport.TcpConnection;

/**
 * Reads one client's input outside of a relay: answers pings, passes the open command to the session, keeps what is sent
 * early, and drops what comes after the last line. Confined to the event-loop thread.
 */
final class RequestReader implements StreamReader.Receiver {
    private final LineProtocolFrontend frontend;
    private final ClientSession session;
    private final TcpConnection connection;
    private final ClientResponder responder;
    private final FrontendContext context;
    private final CrlfDecoder decoder;
    private final EarlyData earlyData;
    private final int maxPings;
    private int pingCount;

    RequestReader(
            LineProtocolFrontend frontend, ClientSession session, TcpConnection connection, ClientResponder responder) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.session = session;
        this.connection = connection;
        this.responder = responder;
        LineProtocolLimits limits = context.limits().lineProtocol();
        this.decoder = new CrlfDecoder(limits.maxLineBytes());
        this.earlyData = new EarlyData(limits.maxLineBytes());
        this.maxPings = limits.maxPings();
    }

    /** What the client sent between its open command and the response. */
    EarlyData earlyData() {
        return earlyData;
    }

    /**
     * Reads until nothing more has arrived. What a client may send before its response is bounded, so that this ends; what
     * comes after the response is not, and is left to the next event.
     */
    void readAvailable() {
        boolean mayHaveMore = true;
        while (mayHaveMore) {
            mayHaveMore = readSome() && session.state() != ClientState.CLOSING;
        }
    }

    /**
     * Reads for one event; returns whether there may be more. A client that sends without end must not keep the event loop
     * to itself.
     */
    boolean readSome() {
        int maxReads = context.limits().sockets().maxReadsPerEvent();
        return StreamReader.read(connection, context.readBuffer(), maxReads, this);
    }

    @Override
    public boolean isReading() {
        return !connection.isClosed() && session.state() != ClientState.RELAYING;
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        readLines(bytes);
        keepEarlyData(bytes);
    }

    @Override
    public void onEndOfStream() {
        session.onEndOfStream();
    }

    private void readLines(ByteBuffer in) {
        while (session.state() == ClientState.OPENING && in.hasRemaining()) {
            try {
                byte[] line = decoder.next(in);
                if (line != null) {
                    handleLine(line);
                }
            } catch (MalformedLineException e) {
                responder.failMalformed(e.getMessage());
            }
        }
    }

    private void handleLine(byte[] line) {
        if (Arrays.equals(line, WireMessages.PING)) {
            answerPing();
        } else {
            session.startRequest(frontend.openCommandParser().parse(line));
        }
    }

    private void answerPing() {
        pingCount++;
        if (pingCount > maxPings) {
            throw new MalformedLineException("too many pings");
        }
        if (frontend.isReady()) {
            connection.write(WireMessages.PONG);
        }
    }

    /** Clients await their response before they send more; one that sends hundreds of commands at once is malformed. */
    private void keepEarlyData(ByteBuffer in) {
        if (session.state() == ClientState.PENDING && in.hasRemaining() && !earlyData.append(in)) {
            session.cancelMalformed("more lines before a response");
        }
    }
}
