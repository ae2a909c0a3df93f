package tulipshed.quic;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.connectionid.ConnectionId;

/**
 * The open connections, and which connection IDs (RFC 9000 section 5.1), client addresses and numbers of servers lead to which
 * of their paths. Without I/O.
 */
final class ConnectionTable {
    private final Set<QuicSession> sessions = new LinkedHashSet<>();
    private final Map<ConnectionId, ClientPath> pathsById = new HashMap<>();
    private final Map<PathAddress, ClientPath> pathsByAddress = new HashMap<>();
    private final Map<ConnectionIdRoute, QuicSession> sessionsByNumber = new HashMap<>();

    /** How many IDs of each length are in the table. */
    private final int[] idsByLength = new int[ConnectionId.LONGEST + 1];

    /** Adds a connection. */
    void add(QuicSession session) {
        sessions.add(session);
    }

    /** Removes a connection; its IDs and addresses are removed one by one. */
    void remove(QuicSession session) {
        sessions.remove(session);
    }

    /** The open connections, oldest first; a copy. */
    List<QuicSession> sessions() {
        return List.copyOf(sessions);
    }

    /** How many connections are open. */
    int sessionCount() {
        return sessions.size();
    }

    /** The path of an ID, or null. */
    ClientPath path(ConnectionId id) {
        return pathsById.get(id);
    }

    /** The path at an address, or null. */
    ClientPath path(PathAddress address) {
        return pathsByAddress.get(address);
    }

    /** The connection that the endpoint of a route numbers so; null where there is none or the ID carries no number. */
    QuicSession numbered(ConnectionIdRoute route) {
        return route.isNumbered() ? sessionsByNumber.get(route) : null;
    }

    /** Adds an ID that leads to a path; false where it leads to one already. */
    boolean addId(ConnectionId id, ClientPath path) {
        boolean isAdded = pathsById.putIfAbsent(id, path) == null;
        idsByLength[id.length()] += isAdded ? 1 : 0;
        return isAdded;
    }

    /** Lets an ID of a connection lead to another of its paths. */
    void moveId(ConnectionId id, ClientPath path) {
        pathsById.replace(id, path);
    }

    /** Removes an ID that leads to this connection. */
    void removeId(ConnectionId id, QuicSession session) {
        ClientPath path = pathsById.get(id);
        if (path != null && path.session() == session) {
            pathsById.remove(id);
            idsByLength[id.length()]--;
        }
    }

    /** Adds the endpoint's number of a connection; an older connection of that number has ended unnoticed. */
    void addNumber(ConnectionIdRoute route, QuicSession session) {
        if (route.isNumbered()) {
            sessionsByNumber.put(route, session);
        }
    }

    /** Removes the endpoint's number of this connection. */
    void removeNumber(ConnectionIdRoute route, QuicSession session) {
        sessionsByNumber.remove(route, session);
    }

    /** Lets an address lead to a path. */
    void addAddress(PathAddress address, ClientPath path) {
        pathsByAddress.put(address, path);
    }

    /** Removes an address that leads to this path. */
    void removeAddress(PathAddress address, ClientPath path) {
        pathsByAddress.remove(address, path);
    }

    /**
     * The length of the known ID that a short header begins with, or 0. A short header does not carry the length (RFC 8999
     * section 5.2), and servers may choose IDs of no configuration, which are learned from their handshake.
     */
    int knownIdLength(byte[] datagram) {
        for (int length = Math.min(ConnectionId.LONGEST, datagram.length - 1); length > 0; length--) {
            if (idsByLength[length] > 0 && pathsById.containsKey(new ConnectionId(datagram, 1, length))) {
                return length;
            }
        }
        return 0;
    }

    /** How many IDs are in the table. */
    int idCount() {
        return pathsById.size();
    }

    /** How many addresses and numbers are in the table; for tests. */
    int addressAndNumberCount() {
        return pathsByAddress.size() + sessionsByNumber.size();
    }
}
