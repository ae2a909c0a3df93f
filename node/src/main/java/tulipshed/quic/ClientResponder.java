package tulipshed.quic;

/**
 * Sends datagrams to the client of one connection within the anti-amplification limit (RFC 9000 section 8.1), and answers the
 * client once the connection is closed (RFC 9000 section 10.2.1).
 */
final class ClientResponder {
    /** The length of the longest stateless reset that is sent without a datagram of the client to answer. */
    private static final int MAX_RESET_BYTES = 43;

    private final QuicContext context;
    private final ConnectionStateMachine machine;
    private final ClientPaths paths;

    /** The CONNECTION_CLOSE that was sent; null where a stateless reset was sent, or nothing. */
    private byte[] closeDatagram;

    /** Sends to the client's paths. */
    ClientResponder(QuicContext context, ConnectionStateMachine machine, ClientPaths paths) {
        this.context = context;
        this.machine = machine;
        this.paths = paths;
    }

    /** Sends a datagram by a path, or drops it where the limit does not allow it. */
    void send(ClientPath path, byte[] datagram) {
        if (machine.maySend(datagram.length)) {
            path.send(datagram);
        } else {
            context.metrics().count(QuicCounter.DROPPED_AMPLIFICATION);
        }
    }

    /**
     * Sends the final answer: CONNECTION_CLOSE while the client can read Initial packets, then a stateless reset, which the
     * client accepts once it has the tokens of the handshake.
     */
    void close(int errorCode, String reason) {
        if (machine.canReadInitial()) {
            closeDatagram = machine.closeDatagram(errorCode, reason);
            send(paths.current(), closeDatagram);
        } else if (machine.maySend(MAX_RESET_BYTES)) {
            sendReset(MAX_RESET_BYTES + 1);
        }
    }

    /** Repeats the final answer to a client that has sent a datagram of this length. */
    void repeatClose(int datagramBytes) {
        if (closeDatagram != null) {
            send(paths.current(), closeDatagram);
        } else if (machine.maySend(MAX_RESET_BYTES)) {
            sendReset(datagramBytes);
        }
    }

    private void sendReset(int triggerBytes) {
        PathAddress address = paths.current().address();
        context.resets().send(address.listener(), address.client(), machine.currentId(), triggerBytes);
    }
}
