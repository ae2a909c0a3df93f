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

    /** The request needs nothing more of the client but its last line; its ID is available again. */
    void beginClosing() {
        session.markClosing();
        lease.releaseId();
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
        if (session.isInputEnded()) {
            closeOnceWritten();
        }
    }

    /** Nothing more comes from the client, but it may not have read all that is queued for it. */
    void closeOnceWritten() {
        if (connection.queuedBytes() == 0) {
            close();
        }
    }

    private void onLingerTimeout() {
        session.readAvailableInput();
        close();
    }

    /** Closes the connection at once, and releases what the session holds. */
    void close() {
        session.markClosing();
        lease.releaseId();
        frontend.unservedConnections().remove(session);
        connection.close();
        lease.release();
    }
}
