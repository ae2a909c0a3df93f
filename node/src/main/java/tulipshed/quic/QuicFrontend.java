package tulipshed.quic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import tulipshed.config.NameIndex;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.StatelessReset;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.ProxyCore;
import tulipshed.proxy.RequestParameters;
import tulipshed.quic.QuicMetrics.Figure;
import tulipshed.routing.AdditionalAttributes;
import tulipshed.routing.AttributeValue;
import tulipshed.routing.RequestOrigin;
import tulipshed.routing.RequestSchema;
import tulipshed.time.Clock;
import tulipshed.transport.UdpSocket;
import tulipshed.transport.XnioEventLoop;

/**
 * The second front: QUIC by connection ids. A datagram belongs to the connection that its destination id
 * names, wherever it comes from; an address is only where answers go. The node holds no keys but those of
 * Initial packets, which follow from what is on the wire.
 */
public final class QuicFrontend {
    private static final String NAME = "quic";
    private static final double SWEEP_MS = 250;
    private static final int LEAST_FIRST_DATAGRAM = 1200; // RFC 9000 section 14.1
    private static final int LEAST_FIRST_ID = 8; // RFC 9000 section 7.2
    private static final double STRANGERS_PAUSE_MS = 1;
    private static final int RETRY_ID = 16; // bytes of the id that a Retry gives

    final Clock clock;
    final Limits limits;
    private QuicConfig config;
    final QuicMetrics counted = new QuicMetrics();
    final ConnectionTable table = new ConnectionTable();
    final UpstreamSocketPool sockets;
    private int unproven;
    final XnioEventLoop loop;
    final ProxyCore core;
    final RandomGenerator random = new SecureRandom();
    final ByteBuffer scratch;
    private final UnknownDatagramQueue strangers;
    private boolean hearing;
    /** Carried on by their id alone, and not answered by their member yet; oldest first. */
    private final Set<QuicSession> unanswered = new LinkedHashSet<>();

    private final Set<QuicSession> all = new LinkedHashSet<>();
    private final List<UdpSocket> listeners = new ArrayList<>();
    private NameIndex names;
    private int openings;
    private boolean leaving;

    /**
     * Opens the sockets of the frontend; call it on the event-loop thread.
     *
     * @throws IOException if an address cannot be bound
     */
    public QuicFrontend(
            Clock clock,
            Limits limits,
            QuicConfig config,
            NameIndex names,
            XnioEventLoop loop,
            ProxyCore core,
            NodeLog log)
            throws IOException {
        this.clock = clock;
        this.limits = limits;
        this.config = config;
        this.names = names;
        this.loop = loop;
        this.core = core;
        scratch = ByteBuffer.allocateDirect(limits.quic().datagramBytes());
        strangers = new UnknownDatagramQueue(limits.quic().maxUnknownDatagrams());
        sockets = new UpstreamSocketPool(loop, config.listen().getAddress(), scratch, counted, limits, log);
        for (Figure f : Figure.values()) {
            core.metrics().frontendCounters(f.written(), () -> counted.get(f));
        }
        core.metrics().frontendCounters("quic_connections", all::size);
        core.metrics().frontendCounters("quic_ids", table::ids);
        core.metrics().frontendCounters("quic_flow_sockets", sockets::count);
        listen(config.listen());
        if (config.preferred() != null) {
            listen(config.preferred());
        }
        loop.schedule(SWEEP_MS, this::sweep);
    }

    private void listen(InetSocketAddress at) throws IOException {
        UdpSocket[] own = new UdpSocket[1];
        try {
            own[0] = loop.bindUdp(at, scratch, (from, datagram) -> {
                counted.count(Figure.DATAGRAMS);
                received(own[0], from, datagram);
            });
        } catch (IOException e) {
            // What is bound already is given back: the front is not open, and may be opened again.
            close();
            throw new IOException("cannot listen on " + at + ": " + e.getMessage(), e);
        }
        listeners.add(own[0]);
    }

    /** Reads what has arrived from clients and was not notified yet, as much as one event reads. */
    void receiveAvailable() {
        List.copyOf(listeners).forEach(UdpSocket::receiveBatch);
    }

    /** Where this front listens. */
    public InetSocketAddress address() {
        return listeners.get(0).address();
    }

    /** Where it listens besides, for clients that their server has told to go there; null where it does not. */
    InetSocketAddress preferred() {
        return listeners.size() < 2 ? null : listeners.get(1).address();
    }

    /** The tokens of resets, shared with the servers. */
    StatelessReset resets() {
        return config.reset();
    }

    /** Where an id leads by what its server wrote into it, or null. */
    ConnectionIdConfigurations.Place place(ConnectionId id) {
        return config.ids().place(id);
    }

    /** Other names of classes and tenants from now on; connections that are open keep their class. */
    public void reconfigure(NameIndex changed) {
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
    RequestParameters arrival(String key) {
        Integer requestClass = names.classIndex(config.requestClass());
        Integer tenant = config.tenant() == null ? Integer.valueOf(-1) : names.tenantIndex(config.tenant());
        return requestClass == null || tenant == null
                ? null
                : new RequestParameters(requestClass, tenant, key, null, config.deadlineMs(), 0, false, false);
    }

    /** Where a transaction came from, and what its client said in the clear; null where it is not known. */
    static RequestOrigin origin(InetSocketAddress from, ClientHelloAssembler opening) {
        AdditionalAttributes.Builder attributes = AdditionalAttributes.builder();
        if (opening != null) {
            attributes.put(RequestSchema.QUIC_VERSION, new AttributeValue.IntegerValue(opening.version().number));
            if (opening.hello().serverName() != null) {
                attributes.put(
                        RequestSchema.SERVER_NAME,
                        new AttributeValue.StringValue(opening.hello().serverName()));
            }
            if (opening.hello().alpn() != null) {
                attributes.put(
                        RequestSchema.ALPN,
                        new AttributeValue.StringValue(opening.hello().alpn()));
            }
        }
        return RequestOrigin.of(NAME, from.getAddress(), attributes.build());
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
        listeners.forEach(UdpSocket::close);
    }

    /** Connections kept; for tests. */
    int sessionCount() {
        return all.size();
    }

    /** Ids kept; for tests. */
    int idCount() {
        return table.ids();
    }

    private void received(UdpSocket listener, InetSocketAddress from, byte[] datagram) {
        List<Packet> packets;
        try {
            packets = Packet.read(datagram, config.ids()::length);
            // All packets of a datagram belong to one connection (RFC 9000 section 12.2).
            int length = packets.get(0).type() == Packet.Type.SHORT
                            && table.path(packets.get(0).destination()) == null
                    ? table.learnt(datagram)
                    : 0;
            packets = length == 0 ? packets : Packet.read(datagram, length);
        } catch (MalformedPacketException e) {
            // Anyone can send anything to a UDP port; what is not QUIC gets no answer.
            counted.count(Figure.DROPPED_MALFORMED);
            return;
        }
        Packet first = packets.get(0);
        ClientPath path = table.path(first.destination());
        if (path != null) {
            known(path, listener, from, datagram, packets);
            return;
        }
        UnknownDatagramQueue.Datagram d = new UnknownDatagramQueue.Datagram(
                listener,
                from,
                datagram,
                packets,
                first.type() == Packet.Type.SHORT ? place(first.destination()) : null);
        path = joined(d);
        if (path != null) {
            known(path, listener, from, datagram, packets);
        } else if (!strangers.offer(d)) {
            counted.count(Figure.DROPPED_PRESSED);
        } else if (!hearing) {
            hearing = true;
            loop.execute(this::hearStrangers);
        }
    }

    private void known(
            ClientPath path, UdpSocket listener, InetSocketAddress from, byte[] datagram, List<Packet> packets) {
        Packet first = packets.get(0);
        ClientPath heard = path;
        if (!path.isAt(listener, from)) {
            if (first.type() == Packet.Type.INITIAL && path.session().isPastInitial()) {
                // Its client has thrown these keys away (RFC 9001 section 4.9.1): somebody repeats what it sent, to
                // have what is meant for it sent elsewhere.
                counted.count(Figure.DROPPED_REPLAYED);
                return;
            }
            heard = path.session().rebind(path, listener, from, first.destination());
        }
        heard.session().fromClient(heard, datagram, packets);
    }

    /** Whoever is known has been heard; now strangers, for a while, and then the others again. */
    private void hearStrangers() {
        try {
            double untilMs = clock.nowMs() + limits.quic().unknownDatagramSliceMs();
            UnknownDatagramQueue.Datagram d;
            while (clock.nowMs() < untilMs && (d = strangers.poll()) != null) {
                // One of those before it may have opened its connection.
                ClientPath path = table.path(d.first().destination());
                path = path == null ? joined(d) : path;
                if (path != null) {
                    known(path, d.listener(), d.from(), d.bytes(), d.packets());
                } else {
                    stranger(d);
                }
            }
        } finally {
            // Also where one of them failed: or no stranger would be heard any more.
            hearing = !strangers.isEmpty();
            if (hearing) {
                // Not at once: the loop runs what it is given at once before it looks at sockets again.
                loop.schedule(STRANGERS_PAUSE_MS, this::hearStrangers);
            }
        }
    }

    /** Somebody of whom nothing is known. */
    private void stranger(UnknownDatagramQueue.Datagram d) {
        Packet first = d.first();
        if (first.type() == Packet.Type.INITIAL && first.fixedBit()) {
            open(d.listener(), d.from(), d.bytes(), first, d.packets());
        } else if (first.type() == Packet.Type.OTHER_VERSION) {
            negotiate(d.listener(), d.from(), d.bytes(), first);
        } else if (first.type() == Packet.Type.SHORT && first.fixedBit()) {
            carryOn(d);
        }
    }

    /** An Initial that no connection knows opens a transaction, if it is one that a client would send. */
    private void open(
            UdpSocket listener, InetSocketAddress from, byte[] datagram, Packet initial, List<Packet> packets) {
        if (datagram.length < LEAST_FIRST_DATAGRAM || initial.destination().length() < LEAST_FIRST_ID) {
            counted.count(Figure.DROPPED_SMALL);
            return;
        }
        ClientHelloAssembler opening =
                new ClientHelloAssembler(initial.destination(), limits.quic().maxClientHelloBytes());
        try {
            if (!opening.take(packets) || opening.closes()) {
                counted.count(Figure.DROPPED_MALFORMED);
                return;
            }
        } catch (MalformedPacketException e) {
            // Sound keys and no hello: whoever sent it hears so at once, in fewer bytes than it sent.
            listener.send(
                    from,
                    QuicSession.closing(
                            opening.version(),
                            initial.destination(),
                            initial.source(),
                            InitialFrames.PROTOCOL_VIOLATION,
                            "not a client hello"));
            return;
        }
        boolean proven = proven(from, initial);
        if (!proven && config.policy() != null && config.policy().asks(unproven, clock.nowMs())) {
            retry(listener, from, initial, opening.version());
            return;
        }
        boolean waits = opening.hello() == null;
        if (full() || leaving || (waits && openings >= limits.quic().maxPendingClientHellos())) {
            // Turned away without keeping anything of it.
            listener.send(
                    from,
                    QuicSession.closing(
                            opening.version(),
                            initial.destination(),
                            initial.source(),
                            InitialFrames.CONNECTION_REFUSED,
                            QuicSession.busy(core.retryAfterMs(limits.sockets().overloadRetryAfterMs()))));
            return;
        }
        if (arrival("") == null) {
            listener.send(
                    from,
                    QuicSession.closing(
                            opening.version(),
                            initial.destination(),
                            initial.source(),
                            InitialFrames.INTERNAL_ERROR,
                            "an unknown class"));
            return;
        }
        QuicSession session = new QuicSession(
                this,
                ConnectionStateMachine.opens(
                        limits.quic(),
                        initial.destination(),
                        initial.source(),
                        datagram,
                        opening,
                        proven,
                        clock.nowMs()),
                listener,
                from);
        all.add(session);
        counted.count(opening.version() == Version.V2 ? Figure.OPENED_V2 : Figure.OPENED_V1);
        session.open();
    }

    /** Whether there is no room for one more connection; one more at a member may find a place on a socket that is open. */
    private boolean full() {
        return all.size() >= limits.quic().maxConnections() || (sockets.count() == 0 && !loop.hasCapacityForClient());
    }

    /**
     * The path of a connection that is known here, for an id not seen before. Where servers number their connections, the id
     * says which it is, wherever it comes from. Where they do not, it is one more id of the connection at that address if that
     * one stands at the member to which the id leads; and where the id leads nowhere, the address is all that is left to go by
     * (QUIC-LB section 4.2). Null where none of this holds.
     */
    private ClientPath joined(UnknownDatagramQueue.Datagram d) {
        if (d.first().type() != Packet.Type.SHORT) {
            return null;
        }
        ConnectionIdConfigurations.Place place = d.place();
        ConnectionId id = d.first().destination();
        QuicSession numbered = place == null ? null : table.numbered(place.member(), place.connection());
        if (numbered != null && numbered.standsAt(place.member())) {
            counted.count(Figure.IDS_JOINED);
            return numbered.path(d.listener(), d.from(), id);
        }
        ClientPath known = table.path(new ConnectionTable.Way(d.listener(), d.from()));
        if (known == null || place == null) {
            return known;
        }
        // Another number is another connection, though both come from one socket of their client.
        if (!known.session().standsAt(place.member())
                || (place.connection() >= 0 && known.session().number() >= 0)) {
            return null;
        }
        counted.count(Figure.IDS_JOINED);
        known.session().learn(id, known);
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
    private void retry(UdpSocket listener, InetSocketAddress to, Packet initial, Version version) {
        byte[] id = new byte[RETRY_ID];
        random.nextBytes(id);
        ConnectionId given = new ConnectionId(id);
        byte[] token = config.tokens().seal(to, initial.destination(), given, clock.nowMs());
        counted.count(Figure.RETRY_SENT);
        listener.send(to, RetryPacket.make(version, initial.source(), given, initial.destination(), token, random));
    }

    /** Connections whose address nothing has proved yet: one more, or one less. */
    void unproven(int more) {
        unproven += more;
    }

    /**
     * A later id that was not seen before: the server id in it tells where it belongs. Clients change ids when
     * they change networks, and a restarted node knows none. A member that is not serving gets nothing.
     */
    private void carryOn(UnknownDatagramQueue.Datagram d) {
        ConnectionIdConfigurations.Place place = d.place();
        ConnectionId id = d.first().destination();
        if (place == null) {
            counted.count(Figure.DROPPED_UNKNOWN_ID);
            return;
        }
        if (!core.isServing(place.member()) || arrival("") == null || full() || leaving) {
            counted.count(Figure.RESETS_SENT);
            d.listener().send(d.from(), config.reset().datagram(id, d.bytes().length, random));
            return;
        }
        QuicSession session = new QuicSession(
                this,
                ConnectionStateMachine.carriesOn(limits.quic(), id, d.bytes(), clock.nowMs()),
                d.listener(),
                d.from());
        all.add(session);
        counted.count(Figure.CARRIED_ON);
        // Ids in the clear can be forged, so those that no member has answered may not fill the table.
        unanswered.add(session);
        if (unanswered.size() > limits.quic().maxUnconfirmedConnections()) {
            QuicSession oldest = unanswered.iterator().next();
            unanswered.remove(oldest);
            counted.count(Figure.GAVE_WAY);
            oldest.giveWay();
        }
        session.carryOn(place.member());
    }

    /** Its member has answered it, or it has ended. */
    void settled(QuicSession session) {
        unanswered.remove(session);
    }

    /**
     * A version that is not spoken here is answered with those that are (RFC 8999 section 6), and with one that nobody
     * speaks, so that clients do not come to rely on the list (RFC 9000 section 6.3).
     */
    private void negotiate(UdpSocket listener, InetSocketAddress from, byte[] datagram, Packet p) {
        if (datagram.length < LEAST_FIRST_DATAGRAM) {
            return;
        }
        counted.count(Figure.NEGOTIATED);
        ByteBuffer out =
                ByteBuffer.allocate(19 + p.source().length() + p.destination().length());
        out.put((byte) (0x80 | random.nextInt(0x80))).putInt(0);
        out.put((byte) p.source().length()).put(p.source().bytes());
        out.put((byte) p.destination().length()).put(p.destination().bytes());
        out.putInt((int) Version.V1.number).putInt((int) Version.V2.number).putInt((int) Version.GREASE);
        listener.send(from, out.array());
    }

    /** A stateless reset by that path, shorter than what it answers. */
    void reset(ClientPath to, ConnectionId id, int answered) {
        counted.count(Figure.RESETS_SENT);
        to.send(config.reset().datagram(id, answered, random));
    }

    void closed(QuicSession session) {
        all.remove(session);
    }

    private void sweep() {
        double nowMs = clock.nowMs();
        List.copyOf(all).forEach(s -> s.lookAtAge(nowMs));
        sockets.sweep(nowMs);
        loop.schedule(SWEEP_MS, this::sweep);
    }
}
