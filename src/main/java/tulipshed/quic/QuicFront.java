package tulipshed.quic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import tulipshed.config.SettingsReader.Names;
import tulipshed.limits.Limits;
import tulipshed.link.DatagramPort;
import tulipshed.link.XnioLoop;
import tulipshed.quic.QuicFigures.Figure;
import tulipshed.routing.Origin;
import tulipshed.routing.TransactionSchema;
import tulipshed.time.Clock;
import tulipshed.transaction.Transaction.Arrival;
import tulipshed.transaction.TransactionCore;

/**
 * The second front: QUIC by connection ids. A datagram belongs to the connection that its destination id
 * names, wherever it comes from; an address is only where answers go. The node holds no keys but those of
 * Initial packets, which follow from what is on the wire.
 */
public final class QuicFront {
    private static final String NAME = "quic";
    private static final double SWEEP_MS = 250;
    private static final int LEAST_FIRST_DATAGRAM = 1200; // RFC 9000 section 14.1
    private static final int LEAST_FIRST_ID = 8; // RFC 9000 section 7.2
    private static final int RETRY_ID = 16; // bytes of the id that a Retry gives

    final Clock clock;
    final Limits limits;
    private QuicConfig config;
    final QuicFigures counted = new QuicFigures();
    private final Map<InetSocketAddress, QuicSession> byAddress = new HashMap<>();
    /** How many ids of each length are known. */
    private final int[] lengths = new int[ConnectionId.LONGEST + 1];
    private int unproven;
    final XnioLoop loop;
    final TransactionCore core;
    final Consumer<String> log;
    final RandomGenerator random = new SecureRandom();
    final ByteBuffer scratch;
    private final Map<ConnectionId, QuicSession> sessions = new HashMap<>();
    private final Set<QuicSession> all = new LinkedHashSet<>();
    private final DatagramPort port;
    private Names names;
    private int openings;
    private boolean leaving;

    public QuicFront(Clock clock, Limits limits, QuicConfig config, Names names, XnioLoop loop,
            TransactionCore core, Consumer<String> log) throws IOException {
        this.clock = clock;
        this.limits = limits;
        this.config = config;
        this.names = names;
        this.loop = loop;
        this.core = core;
        this.log = log;
        scratch = ByteBuffer.allocate(limits.quic().datagramBytes());
        for (Figure f : Figure.values()) {
            core.figures().more(f.written(), () -> counted.get(f));
        }
        port = loop.datagrams(config.listen(), scratch, this::received);
        loop.after(SWEEP_MS, this::sweep);
    }

    /** Where this front listens. */
    public InetSocketAddress address() {
        return port.address();
    }

    /** Other names of classes and tenants from now on; connections that are open keep their class. */
    public void reconfigure(Names changed) {
        names = changed;
    }

    /**
     * Other configurations of ids, other keys and thresholds from now on; it listens where it did. Connections that are
     * open go on, also those of a configuration that is gone.
     */
    public void reconfigure(QuicConfig changed) {
        config = changed;
    }

    /** What a new connection asks for, or null where the settings do not name that any more. */
    Arrival arrival(String key) {
        Integer requestClass = names.classes.get(config.requestClass());
        Integer tenant = config.tenant() == null ? Integer.valueOf(-1) : names.tenants.get(config.tenant());
        return requestClass == null || tenant == null ? null
                : new Arrival(requestClass, tenant, key, null, config.deadlineMs(), 0, false, false);
    }

    /** Where a transaction came from, and what its client said in the clear; null where it is not known. */
    static Origin origin(InetSocketAddress from, Opening opening) {
        Map<String, Object> figures = new HashMap<>();
        if (opening != null) {
            figures.put(TransactionSchema.QUIC_VERSION, opening.version().number);
            if (opening.hello().serverName() != null) {
                figures.put(TransactionSchema.SERVER_NAME, opening.hello().serverName());
            }
            if (opening.hello().alpn() != null) {
                figures.put(TransactionSchema.ALPN, opening.hello().alpn());
            }
        }
        return Origin.of(NAME, from.getAddress(), figures);
    }

    /** A client's hello is waited for, or no more. */
    void waits(int more) {
        openings += more;
    }

    /** Hellos waited for; for tests. */
    int openings() {
        return openings;
    }

    /** The node is leaving: no new connection is taken any more. */
    public void leaving() {
        leaving = true;
    }

    /** Closes the port; what comes later is not taken. */
    public void close() {
        port.close();
    }

    /** Connections kept; for tests. */
    int sessionCount() {
        return all.size();
    }

    /** Ids kept; for tests. */
    int idCount() {
        return sessions.size();
    }

    private void received(InetSocketAddress from, byte[] datagram) {
        counted.count(Figure.DATAGRAMS);
        try {
            List<Packet> packets = Packet.read(datagram, config.ids()::length);
            // All packets of a datagram belong to one connection (RFC 9000 section 12.2).
            Packet first = packets.get(0);
            QuicSession session = sessions.get(first.destination());
            if (session == null && first.type() == Packet.Type.SHORT) {
                int length = learnt(datagram);
                packets = length == 0 ? packets : Packet.read(datagram, length);
                first = packets.get(0);
                session = sessions.get(first.destination());
            }
            if (session == null && first.type() == Packet.Type.SHORT) {
                session = joined(from, first.destination());
            }
            if (session != null) {
                session.fromClient(from, datagram, packets);
            } else if (first.type() == Packet.Type.INITIAL && first.fixedBit()) {
                open(from, datagram, first, packets);
            } else if (first.type() == Packet.Type.OTHER_VERSION) {
                negotiate(from, datagram, first);
            } else if (first.type() == Packet.Type.SHORT && first.fixedBit()) {
                carryOn(from, datagram, first, packets);
            }
        } catch (BadPacket e) {
            // Anyone can send anything to a UDP port; what is not QUIC gets no answer.
            counted.count(Figure.DROPPED_MALFORMED);
            return;
        }
    }

    /** An Initial that no connection knows opens a transaction, if it is one that a client would send. */
    private void open(InetSocketAddress from, byte[] datagram, Packet initial, List<Packet> packets) {
        if (datagram.length < LEAST_FIRST_DATAGRAM || initial.destination().length() < LEAST_FIRST_ID) {
            counted.count(Figure.DROPPED_SMALL);
            return;
        }
        Opening opening = new Opening(initial.destination(), limits.quic().helloBytes());
        try {
            if (!opening.take(packets) || opening.closes()) {
                counted.count(Figure.DROPPED_MALFORMED);
                return;
            }
        } catch (BadPacket e) {
            // Sound keys and no hello: whoever sent it hears so at once, in fewer bytes than it sent.
            send(from, QuicSession.closing(opening.version(), initial.destination(), initial.source(),
                    InitialFrames.PROTOCOL_VIOLATION, "not a client hello"));
            return;
        }
        boolean proven = proven(from, initial);
        if (!proven && config.policy() != null && config.policy().asks(unproven, clock.nowMs())) {
            retry(from, initial, opening.version());
            return;
        }
        boolean waits = opening.hello() == null;
        if (all.size() >= limits.quic().sessions() || !loop.hasRoom() || leaving
                || waits && openings >= limits.quic().openings()) {
            // Turned away without keeping anything of it.
            send(from, QuicSession.closing(opening.version(), initial.destination(), initial.source(),
                    InitialFrames.CONNECTION_REFUSED, QuicSession.busy(core.retryAfterMs(limits.sockets().noRoomRetryMs()))));
            return;
        }
        if (arrival("") == null) {
            send(from, QuicSession.closing(opening.version(), initial.destination(), initial.source(), InitialFrames.INTERNAL_ERROR,
                    "an unknown class"));
            return;
        }
        QuicSession session = new QuicSession(this, from, initial.destination(), initial.source());
        all.add(session);
        learn(initial.destination(), session);
        counted.count(opening.version() == Version.V2 ? Figure.OPENED_V2 : Figure.OPENED_V1);
        session.open(datagram, opening, proven);
    }

    /**
     * How long the known id is that a short header begins with, or 0: servers may choose ids of no configuration, which
     * are known from their handshake.
     */
    private int learnt(byte[] datagram) {
        for (int n = Math.min(ConnectionId.LONGEST, datagram.length - 1); n > 0; n--) {
            if (lengths[n] > 0 && sessions.containsKey(new ConnectionId(Arrays.copyOfRange(datagram, 1, 1 + n)))) {
                return n;
            }
        }
        return 0;
    }

    /**
     * The connection of that address, for an id not seen before: where the id leads to the member at which that one stands
     * it is one more of its ids, and counts as no second connection; where it leads nowhere, the address is all that is
     * left to go by (QUIC-LB section 4.2). Null where neither holds.
     */
    private QuicSession joined(InetSocketAddress from, ConnectionId id) {
        QuicSession known = byAddress.get(from);
        String member = config.ids().member(id);
        if (known == null || member != null && !known.standsAt(member)) {
            return null;
        }
        if (member != null) {
            known.learn(id);
            counted.count(Figure.IDS_JOINED);
        }
        return known;
    }

    /** Whether an Initial carries a token of ours that proves its address; any other token is as none. */
    private boolean proven(InetSocketAddress from, Packet initial) {
        boolean proven = config.tokens() != null
                && config.tokens().open(initial.token(), from, initial.destination(), clock.nowMs()) != null;
        if (proven) {
            counted.count(Figure.RETRY_ACCEPTED);
        }
        return proven;
    }

    /** Nothing is kept of a client that has to prove its address: what it must repeat is in its token. */
    private void retry(InetSocketAddress to, Packet initial, Version version) {
        byte[] id = new byte[RETRY_ID];
        random.nextBytes(id);
        ConnectionId given = new ConnectionId(id);
        byte[] token = config.tokens().seal(to, initial.destination(), given, clock.nowMs(), random);
        counted.count(Figure.RETRY_SENT);
        send(to, RetryPacket.make(version, initial.source(), given, initial.destination(), token, random));
    }

    /** Connections whose address nothing has proved yet: one more, or one less. */
    void unproven(int more) {
        unproven += more;
    }

    /** A client is at that address now; {@code before} is where it was. */
    void moved(InetSocketAddress before, InetSocketAddress now, QuicSession session) {
        if (before != null && !before.equals(now)) {
            counted.count(Figure.REBINDS);
            byAddress.remove(before, session);
        }
        byAddress.put(now, session);
    }

    /**
     * A later id that was not seen before: the server id in it tells where it belongs. Clients change ids when
     * they change networks, and a restarted node knows none. A member that is not serving gets nothing.
     */
    private void carryOn(InetSocketAddress from, byte[] datagram, Packet p, List<Packet> packets) {
        String member = config.ids().member(p.destination());
        if (member == null) {
            counted.count(Figure.DROPPED_UNKNOWN_ID);
            return;
        }
        if (!core.serving(member) || arrival("") == null || all.size() >= limits.quic().sessions() || !loop.hasRoom() || leaving) {
            reset(from, p.destination(), datagram.length);
            return;
        }
        QuicSession session = new QuicSession(this, from, p.destination(), null);
        all.add(session);
        learn(p.destination(), session);
        counted.count(Figure.CARRIED_ON);
        session.carryOn(member, datagram, packets);
    }

    /**
     * A version that is not spoken here is answered with those that are (RFC 8999 section 6), and with one that nobody
     * speaks, so that clients do not come to rely on the list (RFC 9000 section 6.3).
     */
    private void negotiate(InetSocketAddress from, byte[] datagram, Packet p) {
        if (datagram.length < LEAST_FIRST_DATAGRAM) {
            return;
        }
        counted.count(Figure.NEGOTIATED);
        ByteBuffer out = ByteBuffer.allocate(19 + p.source().length() + p.destination().length());
        out.put((byte) (0x80 | random.nextInt(0x80))).putInt(0);
        out.put((byte) p.source().length()).put(p.source().bytes());
        out.put((byte) p.destination().length()).put(p.destination().bytes());
        out.putInt((int) Version.V1.number).putInt((int) Version.V2.number).putInt((int) Version.GREASE);
        send(from, out.array());
    }

    void reset(InetSocketAddress to, ConnectionId id, int answered) {
        counted.count(Figure.RESETS_SENT);
        send(to, config.reset().datagram(id, answered, random));
    }

    void send(InetSocketAddress to, byte[] datagram) {
        port.send(to, datagram);
    }

    /** From now on the id leads to this session, unless it leads to another already. */
    boolean learn(ConnectionId id, QuicSession session) {
        boolean added = sessions.putIfAbsent(id, session) == null;
        lengths[id.length()] += added ? 1 : 0;
        return added;
    }

    void forget(ConnectionId id, QuicSession session) {
        lengths[id.length()] -= sessions.remove(id, session) ? 1 : 0;
    }

    void closed(QuicSession session, InetSocketAddress at) {
        all.remove(session);
        byAddress.remove(at, session);
    }

    private void sweep() {
        double nowMs = clock.nowMs();
        List.copyOf(all).forEach(s -> s.lookAtAge(nowMs));
        loop.after(SWEEP_MS, this::sweep);
    }
}
