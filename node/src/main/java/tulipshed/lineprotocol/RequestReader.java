package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.Arrays;
import tulipshed.limits.LineProtocolLimits;
import tulipshed.transport.TcpConnection;

/**
 * Reads one client's input before and after its relay: answers pings, passes the open command to the session, buffers early
 * data, and discards input that follows the last line. Confined to the event-loop thread.
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

    /** The input that the client sent between its open command and the response. */
    EarlyData earlyData() {
        return earlyData;
    }

    /**
     * Reads until no input is available. Input before the response is bounded, so the loop terminates; input after the last
     * line is not, and is left to the next event.
     */
    void readAvailable() {
        boolean mayHaveMore = true;
        while (mayHaveMore) {
            mayHaveMore = readBounded() && session.state() != ClientState.CLOSING;
        }
    }

    /**
     * Reads the input of one event, with a bounded number of reads so that a client that sends continuously cannot monopolize
     * the event loop; returns whether there may be more.
     */
    boolean readBounded() {
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
        bufferEarlyData(bytes);
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

    /** Buffers early data; if the limit is exceeded, as with hundreds of commands sent at once, fails the client. */
    private void bufferEarlyData(ByteBuffer in) {
        if (session.state() == ClientState.PENDING && in.hasRemaining() && !earlyData.append(in)) {
            session.cancelMalformed("too much data before the response");
        }
    }
}
