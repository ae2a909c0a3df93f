package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tulipshed.connectionid.ConnectionId;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;
import tulipshed.proxy.ClientConnection;
import tulipshed.proxy.Request;
import tulipshed.proxy.UpstreamConnector;
import tulipshed.quic.QuicMetrics.Figure;
import tulipshed.transport.UdpSocket;

/**
 * One connection of QUIC: carries out what its {@link ConnectionStateMachine} says, between the client's paths and the core, and is
 * the connector of its flows to members.
 */
final class QuicSession implements ClientConnection, UpstreamConnector {
    private static final int LONGEST_REPLY = 43;

    private final QuicFrontend front;
    private final ConnectionStateMachine machine;
    private final LearnedConnectionIds ids = new LearnedConnectionIds();
    private final List<ClientPath> paths = new ArrayList<>(1);
    /** By which the client was last heard. */
    private ClientPath current;

    private Request transaction;
    private Attempt flow;
    private byte[] answer;
    private boolean countedUnproven;
    private boolean carriedOn;
    private String numberedAt;
    private long number = -1;

    QuicSession(QuicFrontend front, ConnectionStateMachine machine, UdpSocket listener, InetSocketAddress client) {
        this.front = front;
        this.machine = machine;
        current = new ClientPath(this, listener, client, front.clock.nowMs());
        paths.add(current);
        front.table.at(current.way(), current);
        learn(machine.current(), current);
    }

    /** A new connection. */
    void open() {
        countedUnproven = !machine.proven();
        front.unproven(countedUnproven ? 1 : 0);
        if (machine.stage() == ConnectionStateMachine.Stage.OPENING) {
            front.waits(1);
        } else {
            arrive();
        }
    }

    /** The hello is whole, so all is known that rules may ask for. */
    private void arrive() {
        transaction = new Request(
                this,
                this,
                front.arrival(machine.keyedBy().toString()),
                QuicFrontend.origin(current.client(), machine.takeOpening()),
                front.clock.nowMs(),
                false);
        front.core.requestArrived(transaction);
    }

    /** A connection that stands at that member already, though this node knows nothing else of it. */
    void carryOn(String member) {
        carriedOn = true;
        number(machine.current(), member);
        transaction = new Request(
                this,
                this,
                front.arrival(machine.current().toString()),
                QuicFrontend.origin(current.client(), null),
                front.clock.nowMs(),
                true);
        front.core.adoptConnection(transaction, member);
    }

    /** Others need its place more: it ends, and its client hears that it must come again. */
    void giveWay() {
        if (flow != null) {
            front.core.attemptEnded(flow, Outcome.CANCELLED);
            forget();
        }
    }

    private void settled() {
        if (carriedOn) {
            front.settled(this);
        }
    }

    // ---- What the client sends ----

    void fromClient(ClientPath path, byte[] datagram, List<Packet> packets) {
        double nowMs = front.clock.nowMs();
        current = path;
        path.heard(nowMs);
        boolean waited = machine.stage() == ConnectionStateMachine.Stage.OPENING;
        ConnectionStateMachine.Step step = machine.fromClient(datagram, packets, nowMs);
        if (waited && step != ConnectionStateMachine.Step.HOLD && step != ConnectionStateMachine.Step.DROP) {
            front.waits(-1);
        }
        if (machine.proven()) {
            proven();
        }
        switch (step) {
            case PASS -> toMember(path, datagram, nowMs);
            case REPEAT -> repeatAnswer(datagram.length);
            case ARRIVE -> {
                if (front.arrival("") == null) {
                    answer(InitialFrames.INTERNAL_ERROR, "an unknown class");
                } else {
                    arrive();
                }
            }
            case BAD_HELLO -> answer(InitialFrames.PROTOCOL_VIOLATION, "not a client hello");
            case NEVER_WHOLE -> neverWhole();
            case TAKEN_BACK -> {
                if (transaction != null) {
                    front.core.clientDisconnected(transaction);
                }
                end();
            }
            default -> {}
        }
    }

    /** A hello that passed a bound, in time or in datagrams. */
    private void neverWhole() {
        front.counted.count(Figure.HELLO_NEVER_WHOLE);
        answer(InitialFrames.CONNECTION_REFUSED, "no whole hello");
    }

    /** A client that missed its one answer and sends again is given the same; nothing is begun anew. */
    private void repeatAnswer(int length) {
        if (answer != null) {
            toClient(current, answer);
        } else if (machine.maySend(LONGEST_REPLY)) {
            front.reset(current, machine.current(), length);
        }
    }

    private void toMember(ClientPath path, byte[] datagram, double nowMs) {
        if (path.side() == null && machine.stage() == ConnectionStateMachine.Stage.STANDING) {
            path.side(UpstreamFlow.further(front, flow, d -> fromMember(path, d)));
        }
        if (path.side() != null) {
            path.side().send(datagram, nowMs);
        }
    }

    // ---- Paths ----

    /** Whether its client has sent what only follows on Initial packets. */
    boolean isPastInitial() {
        return !machine.readsInitials();
    }

    /**
     * The path of this connection at that address: for an id that came there first, a path of its own, so that the member sees
     * two and answers each where it belongs.
     */
    ClientPath path(UdpSocket listener, InetSocketAddress client, ConnectionId id) {
        ClientPath path =
                paths.stream().filter(p -> p.isAt(listener, client)).findFirst().orElse(null);
        if (path == null) {
            if (paths.size() >= front.limits.quic().maxPathsPerConnection()) {
                close(paths.stream()
                        .filter(p -> p != current)
                        .min((a, b) -> Double.compare(a.heardMs(), b.heardMs()))
                        .orElseThrow());
            }
            path = new ClientPath(this, listener, client, front.clock.nowMs());
            paths.add(path);
            front.table.at(path.way(), path);
            front.counted.count(Figure.PATHS_OPENED);
        }
        learn(id, path);
        return path;
    }

    /** What led to a path that is gone leads to the one where the client is. */
    private void close(ClientPath path) {
        paths.remove(path);
        path.side(null);
        front.table.leaves(path.way(), path);
        ids.all().stream().filter(id -> front.table.path(id) == path).forEach(id -> front.table.lead(id, current));
    }

    /** The client of that path is heard elsewhere, under an id that it used before: its network has given it another address. */
    ClientPath rebind(ClientPath path, UdpSocket listener, InetSocketAddress client, ConnectionId id) {
        for (ClientPath p : paths) {
            if (p.isAt(listener, client)) {
                front.table.lead(id, p);
                return p;
            }
        }
        front.counted.count(Figure.REBINDS);
        front.table.leaves(path.way(), path);
        path.move(listener, client);
        front.table.at(path.way(), path);
        return path;
    }

    /** To the client; an address that nothing has proved is sent no more than three times what came from it. */
    private void toClient(ClientPath path, byte[] datagram) {
        if (machine.maySend(datagram.length)) {
            path.send(datagram);
        } else {
            front.counted.count(Figure.DROPPED_AMPLIFICATION);
        }
    }

    // ---- Answers ----

    /** An Initial with CONNECTION_CLOSE, as a server sends it that has not begun the handshake. */
    static byte[] closing(Version version, ConnectionId destination, ConnectionId clientId, int code, String reason) {
        return InitialKeys.server(version, destination)
                .seal(clientId, destination, 0, InitialFrames.close(code, reason));
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
    public void migrate() {
        answer(InitialFrames.CONNECTION_REFUSED, "moved; come again");
    }

    /**
     * The last word to the client. While it can still read Initial packets that is a close; later only a reset
     * is left, which it accepts once it has learnt its tokens in the handshake.
     */
    private void answer(int code, String reason) {
        if (machine.stage() == ConnectionStateMachine.Stage.ANSWERED) {
            return;
        }
        if (machine.readsInitials()) {
            answer = machine.closing(code, reason);
            toClient(current, answer);
        } else if (machine.maySend(LONGEST_REPLY)) {
            front.reset(current, machine.current(), LONGEST_REPLY + 1);
        }
        end();
    }

    private void proven() {
        front.unproven(countedUnproven ? -1 : 0);
        countedUnproven = false;
    }

    private void end() {
        proven();
        settled();
        machine.answered(front.clock.nowMs());
        closeSides();
    }

    private void closeSides() {
        paths.forEach(p -> p.side(null));
    }

    // ---- Flows ----

    @Override
    public void open(Attempt opened) {
        flow = opened;
        // A close of the client may have arrived and not have been read yet.
        front.receiveAvailable();
        if (machine.stage() == ConnectionStateMachine.Stage.ANSWERED) {
            // The client has gone; the core has just been notified, and abandons the attempt.
            return;
        }
        ClientPath path = current;
        UpstreamFlow side = UpstreamFlow.open(front, opened, d -> fromMember(path, d));
        path.side(side);
        if (side == null) {
            return;
        }
        double nowMs = front.clock.nowMs();
        machine.first().forEach(d -> side.send(d, nowMs));
        front.core.attemptForwarded();
    }

    @Override
    public void abandon(Attempt given) {
        if (flow == given) {
            closeSides();
        }
    }

    @Override
    public boolean mustLeaveDrainingEndpoint() {
        return true;
    }

    // ---- What the member sends ----

    private void fromMember(ClientPath path, byte[] datagram) {
        List<Packet> packets;
        try {
            packets = Packet.read(datagram, machine.clientIdLength());
        } catch (MalformedPacketException e) {
            return;
        }
        ConnectionStateMachine.Step step = machine.fromMember(packets, front.clock.nowMs());
        if (step == ConnectionStateMachine.Step.DROP || path.side() == null) {
            return;
        }
        path.side().answered();
        switch (step) {
            case REFUSED, FAILED -> {
                closeSides();
                front.core.attemptEnded(
                        flow, step == ConnectionStateMachine.Step.REFUSED ? Outcome.FULL : Outcome.ERROR);
                return;
            }
            case RETRIED -> {
                learn(packets.get(0).source(), path);
                toClient(path, packets.get(0).datagram());
                return;
            }
            case BEGIN -> {
                if (!front.core.attemptEstablished(flow)) {
                    return;
                }
                machine.stands();
                settled();
            }
            default -> {}
        }
        for (Packet p : packets) {
            boolean fromServer = p.type() == Packet.Type.INITIAL || p.type() == Packet.Type.HANDSHAKE;
            if (fromServer && !ids.has(p.source())) {
                learn(p.source(), path);
                number(p.source(), flow.endpoint().id());
            }
        }
        toClient(path, datagram);
        if (packets.get(0).type() == Packet.Type.SHORT && ids.resets(datagram, front.resets())) {
            // The server has lost its state. The client has the reset; what it still sends is answered here.
            front.counted.count(Figure.RESETS_PASSED);
            end();
            front.core.attemptEnded(flow, Outcome.RESET);
        }
    }

    /** Whether it stands at that member. */
    boolean standsAt(String member) {
        return machine.stage() == ConnectionStateMachine.Stage.STANDING
                && flow.endpoint().id().equals(member);
    }

    /** Its flow; for tests. */
    Attempt flow() {
        return flow;
    }

    /** Places that its paths have at the member; for tests. */
    int places() {
        return (int) paths.stream().filter(p -> p.side() != null).count();
    }

    /** The server's number of it, or -1 where its ids tell none. */
    long number() {
        return number;
    }

    /** One more id that leads here, by that path. */
    void learn(ConnectionId id, ClientPath path) {
        if (id.length() == 0 || !front.table.learn(id, path)) {
            return;
        }
        ids.add(id);
        if (ids.count() > front.limits.quic().maxIdsPerConnection()) {
            front.table.forget(ids.poll(), this);
        }
    }

    /** An id that the server at that member chose may tell how it numbers the connection. */
    private void number(ConnectionId id, String member) {
        ConnectionIdConfigurations.Place place = number < 0 ? front.place(id) : null;
        if (place != null && place.connection() >= 0 && place.member().equals(member)) {
            number = place.connection();
            numberedAt = member;
            front.table.number(member, number, this);
        }
    }

    // ---- Age ----

    void lookAtAge(double nowMs) {
        for (ClientPath p : paths) {
            if (p != current
                    && p.side() != null
                    && nowMs - p.heardMs() > front.limits.quic().pathIdleTimeoutMs()) {
                p.side(null);
            }
        }
        UpstreamFlow side = current.side();
        switch (machine.tick(nowMs, side != null && side.silent(nowMs))) {
            case FORGET -> forget();
            case NEVER_WHOLE -> {
                front.waits(-1);
                neverWhole();
            }
            case SILENT -> front.core.endpointUnresponsive(flow);
            case IDLE -> {
                // How it ended cannot be seen: its last packets could not be read.
                front.core.attemptEnded(flow, Outcome.OK);
                end();
                forget();
            }
            default -> {}
        }
    }

    private void forget() {
        ids.all().forEach(id -> front.table.forget(id, this));
        paths.forEach(p -> front.table.leaves(p.way(), p));
        front.table.forgetNumber(numberedAt, number, this);
        front.closed(this);
    }
}
