package tulipshed.quic;

import java.util.ArrayList;
import java.util.List;
import tulipshed.connectionid.ConnectionId;
import tulipshed.limits.QuicLimits;

/**
 * What one connection of QUIC is in, and what is to be done with each datagram of its two ends. Without I/O: whoever owns it
 * carries the steps out.
 */
final class ConnectionStateMachine {
    /** How far a connection is. */
    enum Stage {
        /** Its hello is not whole. */
        OPENING,
        /** Its client is owed an answer. */
        OWED,
        /** A member serves it. */
        STANDING,
        /** Its client has had its answer. */
        ANSWERED
    }

    /** What to do with what came, or as time passed. */
    enum Step {
        /** Nothing. */
        DROP,
        /** It is kept until the hello is whole. */
        HOLD,
        /** The hello is whole: a transaction arrives. */
        ARRIVE,
        /** What the client says cannot be a hello. */
        BAD_HELLO,
        /** The hello has passed a bound. */
        NEVER_WHOLE,
        /** The client takes its wish back. */
        TAKEN_BACK,
        /** To the other end. */
        PASS,
        /** The member serves: if the core says so, the connection stands, and this goes to the client. */
        BEGIN,
        /** The member's Retry goes to the client, which begins again with another id. */
        RETRIED,
        /** The member has no room. */
        REFUSED,
        /** The member has failed. */
        FAILED,
        /** The client is told once more what it was told. */
        REPEAT,
        /** The member has fallen silent. */
        SILENT,
        /** Nothing has come from either end for long. */
        IDLE,
        /** Nothing of it needs to be kept. */
        FORGET
    }

    /** What an address that nothing has proved may be sent, for each byte from there (RFC 9000 section 8.1). */
    private static final int AMPLIFICATION = 3;

    private final QuicLimits limits;
    private List<byte[]> first = new ArrayList<>(2);
    private final ConnectionId clientId;
    private final ConnectionId firstKeyedBy;
    private ConnectionId keyedBy;
    private ConnectionId current;
    private Stage stage = Stage.OWED;
    private ClientHelloAssembler opening;
    private Version version = Version.V1;
    private double openedMs;
    private double heardMs;
    private double answeredMs;
    private long credit;
    private boolean proven;
    private boolean pastInitial;
    private boolean stoodBefore;

    private ConnectionStateMachine(QuicLimits limits, ConnectionId destination, ConnectionId clientId, double nowMs) {
        this.limits = limits;
        this.firstKeyedBy = destination;
        this.keyedBy = destination;
        this.current = destination;
        this.clientId = clientId;
        this.heardMs = nowMs;
        this.openedMs = nowMs;
    }

    /** Of a client whose first datagram this is, with what could be read of it; {@code proven} by a token. */
    static ConnectionStateMachine opens(
            QuicLimits limits,
            ConnectionId destination,
            ConnectionId clientId,
            byte[] datagram,
            ClientHelloAssembler begun,
            boolean proven,
            double nowMs) {
        ConnectionStateMachine m = new ConnectionStateMachine(limits, destination, clientId, nowMs);
        m.proven = proven;
        m.version = begun.version();
        m.opening = begun;
        m.stage = begun.hello() == null ? Stage.OPENING : Stage.OWED;
        m.first.add(datagram);
        m.credit = AMPLIFICATION * (long) datagram.length;
        return m;
    }

    /** Of a connection that stands at a member already; nothing else is known of it. */
    static ConnectionStateMachine carriesOn(
            QuicLimits limits, ConnectionId destination, byte[] datagram, double nowMs) {
        ConnectionStateMachine m = new ConnectionStateMachine(limits, destination, null, nowMs);
        // Its server chose the id, so it has been heard there; and it sees this path as a new one, which it proves
        // itself.
        m.proven = true;
        m.pastInitial = true;
        m.stoodBefore = true;
        m.first.add(datagram);
        return m;
    }

    // ---- What the client sends ----

    /** Takes a datagram of the client. */
    Step fromClient(byte[] datagram, List<Packet> packets, double nowMs) {
        heardMs = nowMs;
        credit += AMPLIFICATION * (long) datagram.length;
        switch (stage) {
            case ANSWERED -> {
                // A reset counts for the id that the client uses now.
                use(packets.get(0).destination());
                return Step.REPEAT;
            }
            case OPENING -> {
                return more(datagram, packets);
            }
            default -> {
                return later(datagram, packets);
            }
        }
    }

    private Step later(byte[] datagram, List<Packet> packets) {
        Packet p = packets.get(0);
        if (stage == Stage.OWED && packets.stream().anyMatch(this::closes)) {
            return Step.TAKEN_BACK;
        }
        if (p.type() == Packet.Type.INITIAL) {
            // With compatible negotiation the client goes over to the version that its server chose (RFC 9368).
            version = Version.of(p.version());
        }
        Packet.Type type = packets.get(packets.size() - 1).type();
        pastInitial |= type == Packet.Type.HANDSHAKE || type == Packet.Type.SHORT;
        use(p.destination());
        // It has what was sent to its address: an id that its server chose.
        proven |= pastInitial && !current.equals(keyedBy);
        if (stage == Stage.OWED && first.size() < limits.retainedFirstDatagrams()) {
            first.add(datagram);
        }
        return Step.PASS;
    }

    private void use(ConnectionId id) {
        current = current.equals(id) ? current : id;
    }

    /** More of a client whose hello is not whole yet. */
    private Step more(byte[] datagram, List<Packet> packets) {
        try {
            boolean sound = opening.take(packets);
            if (opening.closes()) {
                return Step.TAKEN_BACK;
            }
            if (!sound && packets.get(0).type() == Packet.Type.INITIAL) {
                return Step.DROP;
            }
        } catch (MalformedPacketException e) {
            return Step.BAD_HELLO;
        }
        if (first.size() < limits.retainedFirstDatagrams()) {
            first.add(datagram);
        }
        if (opening.hello() != null) {
            stage = Stage.OWED;
            return Step.ARRIVE;
        }
        return first.size() >= limits.retainedFirstDatagrams() ? Step.NEVER_WHOLE : Step.HOLD;
    }

    /**
     * Whether this is the Initial of a client that takes its wish back. Its keys follow from the first id, or from the one that
     * a Retry gave it; one that has not seen the Retry yet closes with the former.
     */
    private boolean closes(Packet p) {
        return p.type() == Packet.Type.INITIAL
                && (closes(p, keyedBy) || (!keyedBy.equals(firstKeyedBy) && closes(p, firstKeyedBy)));
    }

    private static boolean closes(Packet p, ConnectionId keyedBy) {
        try {
            byte[] frames = InitialKeys.client(Version.of(p.version()), keyedBy).open(p);
            return InitialFrames.read(frames).closes();
        } catch (MalformedPacketException e) {
            return false;
        }
    }

    // ---- What the member sends ----

    /** Takes a datagram of the member. */
    Step fromMember(List<Packet> packets, double nowMs) {
        if (stage == Stage.STANDING) {
            heardMs = nowMs;
            return Step.PASS;
        } else if (stage != Stage.OWED) {
            return Step.DROP;
        }
        Packet p = packets.get(0);
        // Sockets are shared: until it stands, only what is for this client makes it stand (the member has no other id
        // of it).
        if (!stoodBefore && !p.destination().equals(clientId)) {
            return Step.DROP;
        }
        heardMs = nowMs;
        if (stoodBefore) {
            return Step.BEGIN;
        }
        switch (p.type()) {
            case RETRY -> {
                // The client begins again under the id that the server chose, and its keys follow from that.
                keyedBy = p.source();
                first.clear();
                return Step.RETRIED;
            }
            case INITIAL -> {
                InitialFrames frames;
                try {
                    frames = InitialFrames.read(
                            InitialKeys.server(Version.of(p.version()), keyedBy).open(p));
                } catch (MalformedPacketException e) {
                    return Step.DROP;
                }
                return !frames.closes()
                        ? Step.BEGIN
                        : frames.closeCode() == InitialFrames.CONNECTION_REFUSED ? Step.REFUSED : Step.FAILED;
            }
            case HANDSHAKE, SHORT -> {
                return Step.BEGIN;
            }
            default -> {
                return Step.FAILED;
            }
        }
    }

    // ---- What its owner does ----

    /** The core says that the member serves it. */
    void stands() {
        stage = Stage.STANDING;
        first = List.of();
    }

    /** The client has had its answer, or wants none. */
    void answered(double nowMs) {
        stage = Stage.ANSWERED;
        answeredMs = nowMs;
        opening = null;
        first = List.of();
    }

    /** What was read of the hello, given once; null where there was none. */
    ClientHelloAssembler takeOpening() {
        ClientHelloAssembler read = opening;
        opening = null;
        return read;
    }

    /** What time has done; {@code silent} where the member has left the client's datagrams unanswered for too long. */
    Step tick(double nowMs, boolean silent) {
        return switch (stage) {
            case ANSWERED -> nowMs - answeredMs > limits.finalResponseRepeatMs() ? Step.FORGET : Step.DROP;
            case OPENING -> nowMs - openedMs > limits.clientHelloTimeoutMs() ? Step.NEVER_WHOLE : Step.DROP;
            case STANDING -> silent ? Step.SILENT : nowMs - heardMs > limits.idleTimeoutMs() ? Step.IDLE : Step.DROP;
            case OWED -> Step.DROP;
        };
    }

    /**
     * Whether so many bytes may go to the client's address now: to one that nothing has proved no more than three times what
     * came from there, by all answers and members together.
     */
    boolean maySend(int bytes) {
        if (proven) {
            return true;
        }
        boolean may = credit >= bytes;
        credit -= may ? bytes : 0;
        return may;
    }

    /** Whether something has proved the client's address. */
    boolean proven() {
        return proven;
    }

    Stage stage() {
        return stage;
    }

    /** Whether the client can still read a close in an Initial packet. */
    boolean readsInitials() {
        return !pastInitial && clientId != null;
    }

    /** A server-side Initial that closes the connection. */
    byte[] closing(int code, String reason) {
        return QuicSession.closing(version, keyedBy, clientId, code, reason);
    }

    /** The id that the client last used. */
    ConnectionId current() {
        return current;
    }

    /** The id that Initial keys follow from. */
    ConnectionId keyedBy() {
        return keyedBy;
    }

    /** How long the client's ids are: the short headers that it is sent do not tell. */
    int clientIdLength() {
        return clientId == null ? 0 : clientId.length();
    }

    /** The client's first datagrams, which a further attempt repeats. */
    List<byte[]> first() {
        return first;
    }
}
