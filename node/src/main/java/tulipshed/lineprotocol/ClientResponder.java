package tulipshed.lineprotocol;

import tulipshed.proxy.ClientConnection;
import tulipshed.transport.TcpConnection;

/** Sends the last line of one client connection, at most once. Confined to the event-loop thread. */
final class ClientResponder implements ClientConnection {
    private final FrontendContext context;
    private final ClientSession session;
    private final TcpConnection connection;
    private final ClientCloser closer;

    ClientResponder(FrontendContext context, ClientSession session, TcpConnection connection, ClientCloser closer) {
        this.context = context;
        this.session = session;
        this.connection = connection;
        this.closer = closer;
    }

    @Override
    public void reject(double retryAfterMs) {
        sendLastLine(WireMessages.rejected(retryAfterMs));
    }

    @Override
    public void fail() {
        sendLastLine(WireMessages.FAILED);
    }

    /** Fails a client that violates the protocol; the reason is logged and must not quote the client's input. */
    void failMalformed(String reason) {
        context.clientErrors().record(reason);
        fail();
    }

    @Override
    public void migrate() {
        if (session.state() == ClientState.RELAYING) {
            session.upstream().abandon();
            // Partial lines stay in the decoder, so this line splits no other, unless that one exceeds the line limit.
            sendLastLine(WireMessages.MIGRATE);
        }
    }

    /**
     * Sends the last line, then closes the connection once the client has ended its output or the linger timeout has
     * expired.
     */
    private void sendLastLine(byte[] line) {
        if (session.state() != ClientState.CLOSING) {
            closer.beginClosing();
            connection.write(line);
            closer.shutdownAndLinger();
        }
    }
}
