package tulipshed.lineprotocol;

import tulipshed.transport.TcpConnection;

/**
 * Closes one client's connection so that the client can still read what was written last: to close over unread input would
 * send a reset, which could overtake it. Confined to the event-loop thread.
 */
final class ClientCloser {
    private final LineProtocolFrontend frontend;
    private final ClientSession session;
    private final TcpConnection connection;
    private final ClientLease lease;

    ClientCloser(LineProtocolFrontend frontend, ClientSession session, TcpConnection connection) {
        this.frontend = frontend;
        this.session = session;
        this.connection = connection;
        this.lease = new ClientLease(frontend);
    }

    /** What the session holds in the frontend. */
    ClientLease lease() {
        return lease;
    }

    /**
     * Ends the sending, and has the session read and drop further input until the client has ended too or the linger timeout
     * has expired.
     */
    void shutdownAndLinger() {
        FrontendContext context = frontend.context();
        frontend.unservedConnections().lingers(session);
        connection.shutdownOutput();
        connection.setReading(!session.isInputEnded());
        context.eventLoop().schedule(context.limits().sockets().lingerTimeoutMs(), this::onLingerTimeout);
        if (session.isInputEnded() && connection.queuedBytes() == 0) {
            session.close();
        }
    }

    private void onLingerTimeout() {
        session.readAvailableInput();
        session.close();
    }

    /** Closes the connection at once, and releases what the session holds. */
    void close() {
        lease.releaseId();
        frontend.unservedConnections().remove(session);
        connection.close();
        lease.release();
    }
}
