package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import java.util.Arrays;
import tulipshed.limits.Limits;
import tulipshed.transport.TcpConnection;

/**
 * Reads one client's input outside of a relay: answers pings, passes the open command to the session, keeps what is sent
 * early, and drops what comes after the last line. Confined to the event-loop thread.
 */
final class RequestReader implements StreamReader.Receiver {
    private final LineProtocolFrontend frontend;
    private final ClientSession session;
    private final TcpConnection connection;
    private final CrlfDecoder decoder;
    private final EarlyData earlyData;
    private final int maxPings;
    private int pingCount;

    RequestReader(LineProtocolFrontend frontend, ClientSession session, TcpConnection connection) {
        Limits.LineProtocol limits = frontend.context().limits().lineProtocol();
        this.frontend = frontend;
        this.session = session;
        this.connection = connection;
        this.decoder = new CrlfDecoder(limits.lineBytes());
        this.earlyData = new EarlyData(limits.lineBytes());
        this.maxPings = limits.pings();
    }

    /** What the client sent between its open command and the response. */
    EarlyData earlyData() {
        return earlyData;
    }

    @Override
    public boolean isReading() {
        return !connection.isClosed() && session.state() != ClientSession.State.RELAYING;
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
        while (session.state() == ClientSession.State.OPENING && in.hasRemaining()) {
            try {
                byte[] line = decoder.next(in);
                if (line != null) {
                    handleLine(line);
                }
            } catch (MalformedLineException e) {
                session.failMalformed(e.getMessage());
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
        if (session.state() == ClientSession.State.PENDING && in.hasRemaining() && !earlyData.append(in)) {
            session.cancelMalformed("more lines before a response");
        }
    }
}
