package tulipshed.quic;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.StatelessReset;

/** The ids that lead to one connection, oldest first, with the tokens by which its server's resets are known. Without I/O. */
final class LearnedConnectionIds {
    private final List<ConnectionId> ids = new ArrayList<>(3);
    /** Null until it is asked for. */
    private final List<byte[]> tokens = new ArrayList<>(3);

    void add(ConnectionId id) {
        ids.add(id);
        tokens.add(null);
    }

    boolean has(ConnectionId id) {
        return ids.contains(id);
    }

    int count() {
        return ids.size();
    }

    /** Takes out the oldest. */
    ConnectionId poll() {
        tokens.remove(0);
        return ids.remove(0);
    }

    List<ConnectionId> all() {
        return ids;
    }

    /**
     * Whether this datagram of a server resets the connection: it ends with the token of one of the ids (RFC 9000 section
     * 10.3.1). A token is worked out once.
     */
    boolean resets(byte[] datagram, StatelessReset key) {
        if (datagram.length < StatelessReset.LEAST) {
            return false;
        }
        boolean found = false;
        for (int i = 0; i < ids.size(); i++) {
            byte[] token = tokens.get(i);
            if (token == null) {
                token = key.token(ids.get(i));
                tokens.set(i, token);
            }
            found |= Arrays.equals(token, 0, token.length, datagram, datagram.length - token.length, datagram.length);
        }
        return found;
    }
}
