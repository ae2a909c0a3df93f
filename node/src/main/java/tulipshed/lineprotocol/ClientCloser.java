package tulipshed.lineprotocol;

import tulipshed.transport.TcpConnection;

/**
 * Closes one client's connection so that the client can still read the last line written to it: closing a socket with
 * unread input sends a reset, which could make the client lose that line. Confined to the event-loop thread.
 */
final class ClientCloser {
    private final LineProtocolFrontend frontend;
    private final ClientSession session;
    private final TcpConnection connection;
    private final ClientRegistration registration;

    /** Null until the connection lingers. */
    private LingerTimeouts.Timeout lingerTimeout;

    ClientCloser(LineProtocolFrontend frontend, ClientSession session, TcpConnection connection) {
        this.frontend = frontend;
        this.session = session;
        this.connection = connection;
        this.registration = new ClientRegistration(frontend);
    }

    /** Returns the session's client slot and request ID. */
    ClientRegistration registration() {
        return registration;
    }

    /** Marks the session as closing before its last line is sent, and releases the ID of its request. */
    void beginClosing() {
        session.markClosing();
        registration.releaseId(session.forbidsRepetition());
    }

    /**
     * Shuts down the output; the session reads and discards further input until the client ends its output too or the
     * linger timeout expires.
     */
    void shutdownAndLinger() {
        frontend.unservedConnections().addLingering(session);
        connection.shutdownOutput();
        connection.setReading(!session.isInputEnded());
        lingerTimeout = frontend.lingerTimeouts().start(this::onLingerTimeout);
        if (session.isInputEnded()) {
            closeIfWritten();
        }
    }

    /** Closes the connection if no bytes are queued for the client; called once the client has ended its output. */
    void closeIfWritten() {
        if (connection.queuedBytes() == 0) {
            close();
        }
    }

    private void onLingerTimeout() {
        session.readAvailableInput();
        close();
    }

    /** Closes the connection immediately and releases the client slot and the request ID. */
    void close() {
        session.markClosing();
        registration.releaseId(session.forbidsRepetition());
        if (lingerTimeout != null) {
            lingerTimeout.cancel();
        }
        frontend.unservedConnections().remove(session);
        connection.close();
        registration.releaseSlot();
    }
}
