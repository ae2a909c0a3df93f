package tulipshed.quic;

import java.util.HashMap;
import java.util.Map;
import tulipshed.connectionid.ConnectionId;

/** Which connection ids, addresses and server's numbers lead to which path of a client. Without I/O. */
final class ConnectionTable {
    /** A client's address and the listener at which it is heard, which is where its answers come from. */
    record Way(Object listener, Object client) {}

    /** A connection as its server numbers it. */
    private record Numbered(String member, long connection) {}

    private final Map<ConnectionId, ClientPath> byId = new HashMap<>();
    private final Map<Way, ClientPath> byWay = new HashMap<>();
    private final Map<Numbered, QuicSession> byNumber = new HashMap<>();
    /** How many ids of each length are known. */
    private final int[] lengths = new int[ConnectionId.LONGEST + 1];

    /** The path of an id, or null. */
    ClientPath path(ConnectionId id) {
        return byId.get(id);
    }

    /** The path at that address, or null. */
    ClientPath path(Way way) {
        return byWay.get(way);
    }

    /** The connection that a server numbers so; null where there is none or its ids carry no numbers. */
    QuicSession numbered(String member, long connection) {
        return connection < 0 ? null : byNumber.get(new Numbered(member, connection));
    }

    /** From now on the id leads there, unless it leads elsewhere already. */
    boolean learn(ConnectionId id, ClientPath path) {
        boolean added = byId.putIfAbsent(id, path) == null;
        lengths[id.length()] += added ? 1 : 0;
        return added;
    }

    /** An id of a connection leads to another of its paths. */
    void lead(ConnectionId id, ClientPath path) {
        byId.replace(id, path);
    }

    /** The id leads to that connection no more. */
    void forget(ConnectionId id, QuicSession session) {
        ClientPath path = byId.get(id);
        if (path != null && path.session() == session) {
            byId.remove(id);
            lengths[id.length()]--;
        }
    }

    /** Its server's number leads to the connection; the one that was there before has ended without a word. */
    void number(String member, long connection, QuicSession session) {
        if (connection >= 0) {
            byNumber.put(new Numbered(member, connection), session);
        }
    }

    void forgetNumber(String member, long connection, QuicSession session) {
        byNumber.remove(new Numbered(member, connection), session);
    }

    /** The path is heard there from now on. */
    void at(Way way, ClientPath path) {
        byWay.put(way, path);
    }

    void leaves(Way way, ClientPath path) {
        byWay.remove(way, path);
    }

    /**
     * How long the known id is that a short header begins with, or 0: servers may choose ids of no configuration, which are
     * known from their handshake.
     */
    int learnt(byte[] datagram) {
        for (int n = Math.min(ConnectionId.LONGEST, datagram.length - 1); n > 0; n--) {
            if (lengths[n] > 0 && byId.containsKey(new ConnectionId(datagram, 1, n))) {
                return n;
            }
        }
        return 0;
    }

    /** Ids known. */
    int ids() {
        return byId.size();
    }

    /** Addresses and numbers known. */
    int others() {
        return byWay.size() + byNumber.size();
    }
}
