package tulipshed.quic;

import java.util.ArrayList;
import java.util.List;
import tulipshed.connectionid.ConnectionId;
import tulipshed.limits.QuicLimits;

/**
 * The state of one connection: decides what is to be done with each datagram of the client and of the endpoint (RFC 9000
 * sections 7, 8.1 and 10). Without I/O; the owner carries the actions out.
 */
final class ConnectionStateMachine {
    private final QuicLimits limits;

    /** The client's source ID; null for a resumed connection. */
    private final ConnectionId clientId;

    /** The destination ID of the client's first Initial. */
    private final ConnectionId originalDestinationId;

    private final AmplificationLimit amplification = new AmplificationLimit();
    private final boolean isResumed;
    private final double openedMs;

    /** The ID that the Initial keys follow from: the original destination ID, or that of the endpoint's Retry. */
    private ConnectionId initialKeyId;

    /** The destination ID that the client used last. */
    private ConnectionId currentId;

    /** The client's first datagrams, which are sent again to each endpoint that is tried. */
    private List<byte[]> firstDatagrams = new ArrayList<>(2);

    private ConnectionStage stage = ConnectionStage.PENDING;

    /** Null once the request has taken it. */
    private ClientHelloAssembler clientHello;

    private Version version = Version.V1;
    private double lastReceivedMs;
    private double closedMs;

    /** Whether the client has sent packets that only follow the Initial ones. */
    private boolean isPastInitial;

    private ConnectionStateMachine(
            QuicLimits limits, ConnectionId destination, ConnectionId clientId, boolean isResumed, double nowMs) {
        this.limits = limits;
        this.clientId = clientId;
        this.isResumed = isResumed;
        originalDestinationId = destination;
        initialKeyId = destination;
        currentId = destination;
        openedMs = nowMs;
        lastReceivedMs = nowMs;
    }

    /**
     * A connection that a client opens.
     *
     * @param datagram the client's first datagram
     * @param clientHello what that datagram carries of the ClientHello
     * @param isValidated whether a token has validated the client's address
     */
    static ConnectionStateMachine opens(
            QuicLimits limits,
            ConnectionId destination,
            ConnectionId clientId,
            byte[] datagram,
            ClientHelloAssembler clientHello,
            boolean isValidated,
            double nowMs) {
        ConnectionStateMachine opened = new ConnectionStateMachine(limits, destination, clientId, false, nowMs);
        opened.amplification.validate(isValidated);
        opened.version = clientHello.version();
        opened.clientHello = clientHello;
        opened.stage = clientHello.hello() == null ? ConnectionStage.AWAITING_CLIENT_HELLO : ConnectionStage.PENDING;
        opened.firstDatagrams.add(datagram);
        opened.amplification.received(datagram.length);
        return opened;
    }

    /** A connection that is established at an endpoint already; nothing but its ID is known of it. */
    static ConnectionStateMachine resumes(QuicLimits limits, ConnectionId destination, byte[] datagram, double nowMs) {
        ConnectionStateMachine resumed = new ConnectionStateMachine(limits, destination, null, true, nowMs);
        // The ID is the endpoint's, which sees this path as a new one and validates it itself.
        resumed.amplification.validate(true);
        resumed.isPastInitial = true;
        resumed.firstDatagrams.add(datagram);
        return resumed;
    }

    /** Decides on a datagram of the client. */
    ConnectionAction fromClient(byte[] datagram, List<Packet> packets, double nowMs) {
        lastReceivedMs = nowMs;
        amplification.received(datagram.length);
        return switch (stage) {
            case CLOSED -> {
                // A reset counts for the ID that the client uses now.
                useId(packets.get(0).destination());
                yield ConnectionAction.REPEAT_ANSWER;
            }
            case AWAITING_CLIENT_HELLO -> continueClientHello(datagram, packets);
            case PENDING, ESTABLISHED -> forwardFromClient(datagram, packets);
        };
    }

    private ConnectionAction forwardFromClient(byte[] datagram, List<Packet> packets) {
        if (stage == ConnectionStage.PENDING && isClosedBy(packets)) {
            return ConnectionAction.CLIENT_CLOSED;
        }
        Packet first = packets.get(0);
        if (first.type() == Packet.Type.INITIAL) {
            // With compatible negotiation the client changes to the version that its server chose (RFC 9368).
            version = Version.of(first.version());
        }
        Packet.Type lastType = packets.get(packets.size() - 1).type();
        isPastInitial |= lastType == Packet.Type.HANDSHAKE || lastType == Packet.Type.SHORT;
        useId(first.destination());
        // The client uses an ID that its server chose, so it has received what was sent to its address.
        amplification.validate(isPastInitial && !currentId.equals(initialKeyId));
        if (stage == ConnectionStage.PENDING && firstDatagrams.size() < limits.retainedFirstDatagrams()) {
            firstDatagrams.add(datagram);
        }
        return ConnectionAction.FORWARD;
    }

    /** Keeps the ID that is stored already where it is the same one, so that received datagrams can be collected. */
    private void useId(ConnectionId id) {
        currentId = currentId.equals(id) ? currentId : id;
    }

    private ConnectionAction continueClientHello(byte[] datagram, List<Packet> packets) {
        try {
            boolean isReadable = clientHello.addInitials(packets);
            if (clientHello.closes()) {
                return ConnectionAction.CLIENT_CLOSED;
            }
            if (!isReadable && packets.get(0).type() == Packet.Type.INITIAL) {
                return ConnectionAction.DROP;
            }
        } catch (MalformedPacketException e) {
            return ConnectionAction.REFUSE_MALFORMED;
        }
        if (firstDatagrams.size() < limits.retainedFirstDatagrams()) {
            firstDatagrams.add(datagram);
        }
        if (clientHello.hello() != null) {
            stage = ConnectionStage.PENDING;
            return ConnectionAction.START_REQUEST;
        }
        return firstDatagrams.size() >= limits.retainedFirstDatagrams()
                ? ConnectionAction.REFUSE_INCOMPLETE
                : ConnectionAction.AWAIT_CLIENT_HELLO;
    }

    /** A client that has not received the Retry yet closes with the keys of its original destination ID. */
    private boolean isClosedBy(List<Packet> packets) {
        return InitialClose.isIn(packets, initialKeyId)
                || (!initialKeyId.equals(originalDestinationId) && InitialClose.isIn(packets, originalDestinationId));
    }

    /** Decides on a datagram of the endpoint. */
    ConnectionAction fromEndpoint(List<Packet> packets, double nowMs) {
        if (stage == ConnectionStage.ESTABLISHED) {
            lastReceivedMs = nowMs;
            return ConnectionAction.FORWARD;
        }
        if (stage != ConnectionStage.PENDING) {
            return ConnectionAction.DROP;
        }
        Packet first = packets.get(0);
        // Upstream sockets are shared: before it is established, only a packet for this client concerns the connection.
        if (!isResumed && !first.destination().equals(clientId)) {
            return ConnectionAction.DROP;
        }
        lastReceivedMs = nowMs;
        return isResumed ? ConnectionAction.ESTABLISH : firstAnswer(first);
    }

    private ConnectionAction firstAnswer(Packet packet) {
        return switch (packet.type()) {
            case RETRY -> {
                // The client starts again with the ID that the server chose, which its keys follow from.
                initialKeyId = packet.source();
                firstDatagrams.clear();
                yield ConnectionAction.FORWARD_RETRY;
            }
            case INITIAL -> firstInitial(packet);
            case HANDSHAKE, SHORT -> ConnectionAction.ESTABLISH;
            case ZERO_RTT, VERSION_NEGOTIATION, OTHER_VERSION -> ConnectionAction.ENDPOINT_FAILED;
        };
    }

    private ConnectionAction firstInitial(Packet initial) {
        InitialFrames frames;
        try {
            frames = InitialFrames.read(InitialKeys.server(Version.of(initial.version()), initialKeyId)
                    .open(initial));
        } catch (MalformedPacketException e) {
            return ConnectionAction.DROP;
        }
        if (!frames.closes()) {
            return ConnectionAction.ESTABLISH;
        }
        return frames.closeCode() == InitialFrames.CONNECTION_REFUSED
                ? ConnectionAction.ENDPOINT_REFUSED
                : ConnectionAction.ENDPOINT_FAILED;
    }

    /** The connection is established at the endpoint. */
    void establish() {
        stage = ConnectionStage.ESTABLISHED;
        firstDatagrams = List.of();
    }

    /** The client has got its final answer, or needs none. */
    void close(double nowMs) {
        stage = ConnectionStage.CLOSED;
        closedMs = nowMs;
        clientHello = null;
        firstDatagrams = List.of();
    }

    /** The complete ClientHello, once; null afterwards, and for a resumed connection. */
    ClientHelloAssembler takeClientHello() {
        ClientHelloAssembler taken = clientHello;
        clientHello = null;
        return taken;
    }

    /** Decides what is to be done at this time. */
    ConnectionAction checkTimeouts(double nowMs, boolean isEndpointUnresponsive) {
        return switch (stage) {
            case CLOSED ->
                nowMs - closedMs > limits.finalResponseRepeatMs() ? ConnectionAction.REMOVE : ConnectionAction.DROP;
            case AWAITING_CLIENT_HELLO ->
                nowMs - openedMs > limits.clientHelloTimeoutMs()
                        ? ConnectionAction.REFUSE_INCOMPLETE
                        : ConnectionAction.DROP;
            case ESTABLISHED -> checkEstablished(nowMs, isEndpointUnresponsive);
            case PENDING -> ConnectionAction.DROP;
        };
    }

    private ConnectionAction checkEstablished(double nowMs, boolean isEndpointUnresponsive) {
        if (isEndpointUnresponsive) {
            return ConnectionAction.ENDPOINT_UNRESPONSIVE;
        }
        return nowMs - lastReceivedMs > limits.idleTimeoutMs() ? ConnectionAction.IDLE_TIMEOUT : ConnectionAction.DROP;
    }

    /** Takes this many bytes of the anti-amplification allowance; false where they may not be sent to the client now. */
    boolean maySend(int bytes) {
        return amplification.tryAcquire(bytes);
    }

    /** Whether the client's address is validated. */
    boolean isAddressValidated() {
        return amplification.isValidated();
    }

    /** How far the connection has come. */
    ConnectionStage stage() {
        return stage;
    }

    /** Whether the client can still read a CONNECTION_CLOSE in an Initial packet. */
    boolean canReadInitial() {
        return !isPastInitial && clientId != null;
    }

    /** A datagram with an Initial of the server that closes the connection. */
    byte[] closeDatagram(int errorCode, String reason) {
        return InitialClose.datagram(version, initialKeyId, clientId, errorCode, reason);
    }

    /** The destination ID that the client used last. */
    ConnectionId currentId() {
        return currentId;
    }

    /** The ID that the Initial keys follow from. */
    ConnectionId initialKeyId() {
        return initialKeyId;
    }

    /** The length of the client's IDs, in bytes: short headers to the client do not carry it. */
    int clientIdLength() {
        return clientId == null ? 0 : clientId.length();
    }

    /** The client's first datagrams, which each further attempt sends again. */
    List<byte[]> firstDatagrams() {
        return firstDatagrams;
    }
}
