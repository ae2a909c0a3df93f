package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.List;
import tulipshed.connectionid.ConnectionId;
import tulipshed.transport.UdpSocket;
import tulipshed.transport.XnioEventLoop;

/**
 * Assigns each datagram to a connection by its destination connection ID (RFC 9000 section 5.2), wherever it comes from.
 * Datagrams with unknown IDs wait until those of known connections are processed. Confined to the event-loop thread.
 */
final class DatagramDemultiplexer {
    private static final double UNKNOWN_DATAGRAM_PAUSE_MS = 1;

    private final QuicContext context;
    private final XnioEventLoop loop;
    private final ConnectionOpener opener;
    private final UnknownDatagramQueue unknownDatagrams;
    private boolean isDrainScheduled;

    /** Passes datagrams to the connections in the table of {@code context}, and unknown ones to {@code opener}. */
    DatagramDemultiplexer(QuicContext context, XnioEventLoop loop, ConnectionOpener opener) {
        this.context = context;
        this.loop = loop;
        this.opener = opener;
        unknownDatagrams = new UnknownDatagramQueue(context.limits().quic().maxUnknownDatagrams());
    }

    /** Processes a datagram that a listener has received. */
    void receive(UdpSocket listener, InetSocketAddress from, byte[] datagram) {
        List<Packet> packets;
        try {
            packets = readPackets(datagram);
        } catch (MalformedPacketException e) {
            context.metrics().count(QuicCounter.DROPPED_MALFORMED);
            return;
        }
        Packet first = packets.get(0);
        ClientPath path = context.table().path(first.destination());
        if (path != null) {
            deliver(path, listener, from, datagram, packets);
            return;
        }
        UnknownDatagram unknown = new UnknownDatagram(
                listener,
                from,
                datagram,
                packets,
                first.type() == Packet.Type.SHORT ? context.settings().route(first.destination()) : null);
        path = joinConnection(unknown);
        if (path != null) {
            deliver(path, listener, from, datagram, packets);
        } else if (!unknownDatagrams.offer(unknown)) {
            context.metrics().count(QuicCounter.DROPPED_QUEUE_FULL);
        } else if (!isDrainScheduled) {
            isDrainScheduled = true;
            loop.execute(this::drainUnknownDatagrams);
        }
    }

    /** All packets of a datagram belong to one connection (RFC 9000 section 12.2). */
    private List<Packet> readPackets(byte[] datagram) {
        List<Packet> packets = Packet.read(datagram, context.settings().config().ids()::length);
        Packet first = packets.get(0);
        if (first.type() != Packet.Type.SHORT || context.table().path(first.destination()) != null) {
            return packets;
        }
        int knownIdLength = context.table().knownIdLength(datagram);
        return knownIdLength == 0 ? packets : Packet.read(datagram, knownIdLength);
    }

    private void deliver(
            ClientPath path, UdpSocket listener, InetSocketAddress from, byte[] datagram, List<Packet> packets) {
        Packet first = packets.get(0);
        ClientPath receivedOn = path;
        if (!path.isAt(listener, from)) {
            if (first.type() == Packet.Type.INITIAL && path.session().isPastInitial()) {
                // The client has discarded its Initial keys (RFC 9001 section 4.9.1), so this is a replay, by which an
                // attacker would have the connection's datagrams sent to its own address.
                context.metrics().count(QuicCounter.DROPPED_REPLAYED);
                return;
            }
            receivedOn = path.session().paths().rebind(path, listener, from, first.destination());
        }
        receivedOn.session().fromClient(receivedOn, datagram, packets);
    }

    /** Processes unknown datagrams for a limited time, and then lets the loop read sockets again. */
    private void drainUnknownDatagrams() {
        try {
            double untilMs = context.clock().nowMs() + context.limits().quic().unknownDatagramSliceMs();
            UnknownDatagram datagram;
            while (context.clock().nowMs() < untilMs && (datagram = unknownDatagrams.poll()) != null) {
                process(datagram);
            }
        } finally {
            // Also after a failure, or the queue would never be drained again.
            isDrainScheduled = !unknownDatagrams.isEmpty();
            if (isDrainScheduled) {
                // Not by execute, as the loop runs such tasks before it looks at sockets again.
                loop.schedule(UNKNOWN_DATAGRAM_PAUSE_MS, this::drainUnknownDatagrams);
            }
        }
    }

    private void process(UnknownDatagram datagram) {
        // A datagram before it may have opened its connection.
        ClientPath path = context.table().path(datagram.first().destination());
        path = path == null ? joinConnection(datagram) : path;
        if (path != null) {
            deliver(path, datagram.listener(), datagram.from(), datagram.bytes(), datagram.packets());
        } else {
            opener.process(datagram);
        }
    }

    /**
     * The path of an open connection for a new ID in a short header, or null. An ID with a connection number joins that
     * connection from any address. An ID without one joins the connection at its address if that is established at the
     * endpoint of the ID, and an ID that leads nowhere joins the connection at its address (QUIC-LB section 4.2).
     */
    private ClientPath joinConnection(UnknownDatagram datagram) {
        if (datagram.first().type() != Packet.Type.SHORT) {
            return null;
        }
        ConnectionIdRoute route = datagram.route();
        ConnectionId id = datagram.first().destination();
        QuicSession numbered = route == null ? null : context.table().numbered(route);
        if (numbered != null && numbered.isEstablishedAt(route.endpointId())) {
            context.metrics().count(QuicCounter.IDS_JOINED);
            return numbered.paths().at(datagram.listener(), datagram.from(), id);
        }
        ClientPath atAddress = context.table().path(new PathAddress(datagram.listener(), datagram.from()));
        if (atAddress == null || route == null) {
            return atAddress;
        }
        // Another number is another connection, though both use the same client socket.
        QuicSession session = atAddress.session();
        if (!session.isEstablishedAt(route.endpointId())
                || (route.isNumbered() && session.paths().isNumbered())) {
            return null;
        }
        context.metrics().count(QuicCounter.IDS_JOINED);
        session.paths().learn(id, atAddress);
        return atAddress;
    }
}
