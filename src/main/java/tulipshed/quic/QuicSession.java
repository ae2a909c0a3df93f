package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.transaction.MemberConnector;
import tulipshed.transaction.ServerSideFlow;
import tulipshed.transaction.Transaction;
import tulipshed.transaction.VirtualServer;

/**
 * One connection of QUIC: the client's side, and the connector of its flows to members. Every flow has a UDP
 * socket of its own, so that what a member sends needs no id to find its client, and a client that changes its
 * address looks to its member as if it had not.
 */
final class QuicSession implements VirtualServer, MemberConnector {
    private static final int LONGEST_REPLY = 43;

    private enum State { OPENING, OWED, STANDING, ANSWERED }

    private final QuicFront front;
    private final ArrayDeque<ConnectionId> ids = new ArrayDeque<>();
    private final List<byte[]> first = new ArrayList<>();
    private final ConnectionId clientId;
    private ConnectionId keyedBy;
    private ConnectionId current;
    private InetSocketAddress client;
    private State state = State.OWED;
    private Opening opening;
    private Version version = Version.V1;
    private double openedMs;
    private Transaction transaction;
    private ServerSideFlow flow;
    private FlowSide side;
    private byte[] answer;
    private boolean pastInitial;
    private boolean unproven;
    private double heardMs;
    private double answeredMs;

    QuicSession(QuicFront front, InetSocketAddress client, ConnectionId destination, ConnectionId clientId) {
        this.front = front;
        this.client = client;
        this.keyedBy = destination;
        this.current = destination;
        this.clientId = clientId;
        this.heardMs = front.clock.nowMs();
        ids.add(destination);
        front.moved(null, client, this);
    }

    /** A new connection. */
    void open(byte[] datagram, Opening begun, boolean proven) {
        unproven = !proven;
        front.unproven(proven ? 0 : 1);
        first.add(datagram);
        opening = begun;
        version = begun.version();
        if (begun.hello() != null) {
            arrive();
        } else {
            state = State.OPENING;
            openedMs = heardMs;
            front.waits(1);
        }
    }

    /** The hello is whole, so all is known that rules may ask for. */
    private void arrive() {
        state = State.OWED;
        transaction = new Transaction(this, this, front.arrival(keyedBy.toString()), QuicFront.origin(client, opening), heardMs,
                false);
        opening = null;
        front.core.arrived(transaction);
    }

    /** More of a client whose hello is not whole yet. */
    private void more(byte[] datagram, List<Packet> packets) {
        try {
            boolean sound = opening.take(packets);
            if (opening.closes()) {
                opened();
                end();
                return;
            }
            if (!sound && packets.get(0).type() == Packet.Type.INITIAL) {
                return;
            }
        } catch (BadPacket e) {
            opened();
            answer(InitialFrames.PROTOCOL_VIOLATION, "not a client hello");
            return;
        }
        if (first.size() < front.limits.quic().firstDatagrams()) {
            first.add(datagram);
        }
        if (opening.hello() != null && front.arrival("") != null) {
            front.waits(-1);
            arrive();
        } else if (opening.hello() != null || first.size() >= front.limits.quic().firstDatagrams()) {
            neverWhole();
        }
    }

    /** A hello that passed a bound, in time or in datagrams. */
    private void neverWhole() {
        opened();
        front.counted.count(QuicFigures.Figure.HELLO_NEVER_WHOLE);
        answer(InitialFrames.CONNECTION_REFUSED, "no whole hello");
    }

    /** Nothing more is waited for. */
    private void opened() {
        state = State.OWED;
        opening = null;
        front.waits(-1);
    }

    /** A connection that stands at that member already, though this node knows nothing else of it. */
    void carryOn(String member, byte[] datagram, List<Packet> packets) {
        first.add(datagram);
        pastInitial = true;
        transaction = new Transaction(this, this, front.arrival(current.toString()), QuicFront.origin(client, null), heardMs,
                true);
        front.core.alreadyOpen(transaction, member);
    }

    // ---- What the client sends ----

    void fromClient(InetSocketAddress from, byte[] datagram, List<Packet> packets) {
        heardMs = front.clock.nowMs();
        // A client that came to another port or network is the same client: only its return address changes.
        front.moved(client, from, this);
        client = from;
        if (state == State.ANSWERED) {
            repeatAnswer(datagram.length);
            return;
        }
        if (state == State.OPENING) {
            more(datagram, packets);
            return;
        }
        if (state == State.OWED && leaves(packets.get(0))) {
            front.core.clientLeft(transaction);
            end();
            return;
        }
        if (packets.get(0).type() == Packet.Type.INITIAL) {
            // With compatible negotiation the client goes over to the version that its server chose (RFC 9368).
            version = Version.of(packets.get(0).version());
        }
        Packet.Type type = packets.get(packets.size() - 1).type();
        pastInitial |= type == Packet.Type.HANDSHAKE || type == Packet.Type.SHORT;
        current = packets.get(0).destination();
        if (pastInitial && !current.equals(keyedBy)) {
            // It has what was sent to its address: an id that its server chose.
            proven();
        }
        if (state == State.OWED && first.size() < front.limits.quic().firstDatagrams()) {
            first.add(datagram);
        }
        toMember(datagram);
    }

    /** A client that missed its one answer and sends again is given the same; nothing is begun anew. */
    private void repeatAnswer(int length) {
        if (answer != null) {
            front.send(client, answer);
        } else {
            front.reset(client, current, length);
        }
    }

    /** Whether this is the Initial of a client that takes its wish back. */
    private boolean leaves(Packet p) {
        try {
            return p.type() == Packet.Type.INITIAL
                    && InitialFrames.read(InitialKeys.client(Version.of(p.version()), keyedBy).open(p)).closes();
        } catch (BadPacket e) {
            return false;
        }
    }

    private void toMember(byte[] datagram) {
        if (side != null) {
            side.send(datagram, heardMs);
        }
    }

    // ---- Answers ----

    /** An Initial with CONNECTION_CLOSE, as a server sends it that has not begun the handshake. */
    static byte[] closing(Version version, ConnectionId destination, ConnectionId clientId, int code, String reason) {
        return InitialKeys.server(version, destination).seal(clientId, destination, 0, InitialFrames.close(code, reason));
    }

    @Override
    public void reject(double retryAfterMs) {
        answer(InitialFrames.CONNECTION_REFUSED, busy(retryAfterMs));
    }

    static String busy(double retryAfterMs) {
        long ms = (long) Math.ceil(retryAfterMs);
        return ms > 0 ? "busy; come again after " + ms + " ms" : "busy";
    }

    @Override
    public void fail() {
        answer(InitialFrames.INTERNAL_ERROR, "failed");
    }

    @Override
    public void move() {
        answer(InitialFrames.CONNECTION_REFUSED, "moved; come again");
    }

    /**
     * The last word to the client. While it can still read Initial packets that is a close; later only a reset
     * is left, which it accepts once it has learnt its tokens in the handshake.
     */
    private void answer(int code, String reason) {
        if (state == State.ANSWERED) {
            return;
        }
        end();
        if (!pastInitial && clientId != null) {
            answer = closing(version, keyedBy, clientId, code, reason);
            front.send(client, answer);
        } else {
            front.reset(client, current, LONGEST_REPLY + 1);
        }
    }

    private void proven() {
        front.unproven(unproven ? -1 : 0);
        unproven = false;
    }

    private void end() {
        proven();
        state = State.ANSWERED;
        answeredMs = front.clock.nowMs();
        first.clear();
        closePort();
    }

    private void closePort() {
        if (side != null) {
            side.close();
            side = null;
        }
    }

    // ---- Flows ----

    @Override
    public void open(ServerSideFlow flow) {
        this.flow = flow;
        side = FlowSide.open(front, flow, this::fromMember);
        if (side == null) {
            return;
        }
        List.copyOf(first).forEach(this::toMember);
        front.core.dispatched();
    }

    @Override
    public void giveUp(ServerSideFlow given) {
        if (flow == given) {
            closePort();
        }
    }

    @Override
    public boolean leavesDraining() {
        return true;
    }

    // ---- What the member sends ----

    private void fromMember(byte[] datagram) {
        List<Packet> packets;
        try {
            packets = Packet.read(datagram, clientId == null ? 0 : clientId.length());
        } catch (BadPacket e) {
            return;
        }
        heardMs = front.clock.nowMs();
        side.answered();
        if (state == State.OWED && !begins(packets)) {
            return;
        }
        for (Packet p : packets) {
            boolean fromServer = p.type() == Packet.Type.INITIAL || p.type() == Packet.Type.HANDSHAKE;
            if (fromServer && !ids.contains(p.source())) {
                learn(p.source());
            }
        }
        front.send(client, datagram);
    }

    /** Before the connection stands: whether what the member sent makes it stand, and goes to the client. */
    private boolean begins(List<Packet> packets) {
        Packet p = packets.get(0);
        if (transaction.stoodBefore()) {
            return stands();
        }
        switch (p.type()) {
            case RETRY -> {
                // The client begins again under the id that the server chose, and its keys follow from that.
                keyedBy = p.source();
                learn(p.source());
                first.clear();
                front.send(client, p.datagram());
                return false;
            }
            case INITIAL -> {
                InitialFrames frames;
                try {
                    frames = InitialFrames.read(InitialKeys.server(Version.of(p.version()), keyedBy).open(p));
                } catch (BadPacket e) {
                    return false;
                }
                if (!frames.closes()) {
                    return stands();
                }
                closePort();
                front.core.ended(flow, frames.closeCode() == InitialFrames.CONNECTION_REFUSED
                        ? Outcome.FULL : Outcome.ERROR);
                return false;
            }
            case HANDSHAKE, SHORT -> {
                return stands();
            }
            default -> {
                closePort();
                front.core.ended(flow, Outcome.ERROR);
                return false;
            }
        }
    }

    private boolean stands() {
        if (!front.core.up(flow)) {
            return false;
        }
        state = State.STANDING;
        first.clear();
        return true;
    }

    /** Whether it stands at that member. */
    boolean standsAt(String member) {
        return state == State.STANDING && flow.member().id().equals(member);
    }

    /** One more id that leads here. */
    void learn(ConnectionId id) {
        if (id.length() == 0 || !front.learn(id, this)) {
            return;
        }
        ids.add(id);
        if (ids.size() > front.limits.quic().ids()) {
            front.forget(ids.poll(), this);
        }
    }

    // ---- Age ----

    void lookAtAge(double nowMs) {
        double idleMs = nowMs - heardMs;
        if (state == State.ANSWERED) {
            if (nowMs - answeredMs > front.limits.quic().answeredMs()) {
                forget();
            }
        } else if (state == State.OPENING && nowMs - openedMs > front.limits.quic().openingMs()) {
            neverWhole();
        } else if (state == State.STANDING && side != null && side.silent(nowMs)) {
            front.core.silent(flow);
        } else if (state == State.STANDING && idleMs > front.limits.quic().idleMs()) {
            // How it ended cannot be seen: its last packets could not be read.
            front.core.ended(flow, Outcome.OK);
            end();
            forget();
        }
    }

    private void forget() {
        ids.forEach(id -> front.forget(id, this));
        ids.clear();
        front.closed(this, client);
    }
}
