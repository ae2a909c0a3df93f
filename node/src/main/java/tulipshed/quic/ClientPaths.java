package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tulipshed.connectionid.ConnectionId;
import tulipshed.transport.UdpSocket;

/**
 * The network paths of one connection (RFC 9000 section 9) and the connection IDs that lead to them, which it keeps up to date
 * in the {@link ConnectionTable}.
 */
final class ClientPaths {
    private final QuicContext context;
    private final QuicSession session;
    private final LearnedConnectionIds ids = new LearnedConnectionIds();
    private final List<ClientPath> paths = new ArrayList<>(1);

    /** The path on which a datagram was last received. */
    private ClientPath current;

    /** The endpoint's number of the connection; null while none is known. */
    private ConnectionIdRoute numberedRoute;

    /** One path, to which {@code id} leads. */
    ClientPaths(
            QuicContext context, QuicSession session, UdpSocket listener, InetSocketAddress client, ConnectionId id) {
        this.context = context;
        this.session = session;
        current = new ClientPath(session, listener, client, context.clock().nowMs());
        paths.add(current);
        context.table().addAddress(current.address(), current);
        learn(id, current);
    }

    /** The path on which a datagram was last received. */
    ClientPath current() {
        return current;
    }

    /** A datagram was received on a path. */
    void received(ClientPath path, double nowMs) {
        current = path;
        path.received(nowMs);
    }

    /** The path at an address for a new ID; a path is added where there is none. */
    ClientPath at(UdpSocket listener, InetSocketAddress client, ConnectionId id) {
        ClientPath path = find(listener, client);
        if (path == null) {
            if (paths.size() >= context.limits().quic().maxPathsPerConnection()) {
                remove(leastRecent());
            }
            path = new ClientPath(session, listener, client, context.clock().nowMs());
            paths.add(path);
            context.table().addAddress(path.address(), path);
            context.metrics().count(QuicCounter.PATHS_OPENED);
        }
        learn(id, path);
        return path;
    }

    private ClientPath find(UdpSocket listener, InetSocketAddress client) {
        for (ClientPath path : paths) {
            if (path.isAt(listener, client)) {
                return path;
            }
        }
        return null;
    }

    private ClientPath leastRecent() {
        return paths.stream()
                .filter(path -> path != current)
                .min((one, other) -> Double.compare(one.lastReceivedMs(), other.lastReceivedMs()))
                .orElseThrow();
    }

    /** Removes a path; its IDs lead to the current one. */
    private void remove(ClientPath path) {
        paths.remove(path);
        path.closeFlow();
        context.table().removeAddress(path.address(), path);
        ids.all().stream()
                .filter(id -> context.table().path(id) == path)
                .forEach(id -> context.table().moveId(id, current));
    }

    /**
     * The client of a path sends from another address under an ID that it used before: a NAT rebinding, or a return to another
     * of its paths.
     */
    ClientPath rebind(ClientPath path, UdpSocket listener, InetSocketAddress client, ConnectionId id) {
        ClientPath other = find(listener, client);
        if (other != null) {
            context.table().moveId(id, other);
            return other;
        }
        context.metrics().count(QuicCounter.REBINDS);
        context.table().removeAddress(path.address(), path);
        path.rebind(listener, client);
        context.table().addAddress(path.address(), path);
        return path;
    }

    /** Adds an ID that leads to a path of this connection; above a limit the oldest ID is removed. */
    void learn(ConnectionId id, ClientPath path) {
        if (id.length() == 0 || !context.table().addId(id, path)) {
            return;
        }
        ids.add(id);
        if (ids.count() > context.limits().quic().maxIdsPerConnection()) {
            context.table().removeId(ids.removeOldest(), session);
        }
    }

    /** Learns the IDs that the endpoint has chosen: the source IDs of its long headers (RFC 9000 section 7.2). */
    void learnFromEndpoint(List<Packet> packets, ClientPath path, String endpointId) {
        for (Packet packet : packets) {
            boolean hasSourceId = packet.type() == Packet.Type.INITIAL || packet.type() == Packet.Type.HANDSHAKE;
            if (hasSourceId && !ids.contains(packet.source())) {
                learn(packet.source(), path);
                learnNumber(packet.source(), endpointId);
            }
        }
    }

    /** Learns the number of the connection from an ID that the endpoint has chosen, if the ID carries one. */
    void learnNumber(ConnectionId id, String endpointId) {
        ConnectionIdRoute route = numberedRoute == null ? context.settings().route(id) : null;
        if (route != null && route.isNumbered() && route.endpointId().equals(endpointId)) {
            numberedRoute = route;
            context.table().addNumber(route, session);
        }
    }

    /** Whether the endpoint's number of the connection is known. */
    boolean isNumbered() {
        return numberedRoute != null;
    }

    /** Whether a datagram of the endpoint is a stateless reset of this connection (RFC 9000 section 10.3.1). */
    boolean isStatelessReset(byte[] datagram) {
        return ids.isStatelessReset(datagram, context.settings().config().reset());
    }

    /** Closes the flows of all paths. */
    void closeFlows() {
        paths.forEach(ClientPath::closeFlow);
    }

    /** Closes the flows of paths other than the current one that are idle for too long. */
    void closeIdleFlows(double nowMs) {
        for (ClientPath path : paths) {
            if (path != current
                    && path.flow() != null
                    && nowMs - path.lastReceivedMs() > context.limits().quic().pathIdleTimeoutMs()) {
                path.closeFlow();
            }
        }
    }

    /** How many paths have a flow; for tests. */
    int flowCount() {
        return (int) paths.stream().filter(path -> path.flow() != null).count();
    }

    /** Removes all IDs, addresses and the number of this connection from the table. */
    void removeFromTable() {
        ids.all().forEach(id -> context.table().removeId(id, session));
        paths.forEach(path -> context.table().removeAddress(path.address(), path));
        if (numberedRoute != null) {
            context.table().removeNumber(numberedRoute, session);
        }
    }
}
