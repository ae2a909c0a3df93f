package tulipshed.quic;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.StatelessReset;

/** The IDs that lead to one connection, oldest first, with their stateless reset tokens (RFC 9000 section 10.3). Without I/O. */
final class LearnedConnectionIds {
    private static final int INITIAL_CAPACITY = 3;

    private final List<ConnectionId> ids = new ArrayList<>(INITIAL_CAPACITY);

    /** The token of each ID; null until it is needed. */
    private final List<byte[]> resetTokens = new ArrayList<>(INITIAL_CAPACITY);

    /** Adds an ID. */
    void add(ConnectionId id) {
        ids.add(id);
        resetTokens.add(null);
    }

    /** Whether this ID was added and not removed. */
    boolean contains(ConnectionId id) {
        return ids.contains(id);
    }

    /** How many IDs there are. */
    int count() {
        return ids.size();
    }

    /** Removes the oldest ID. */
    ConnectionId removeOldest() {
        resetTokens.remove(0);
        return ids.remove(0);
    }

    /** The IDs, oldest first. */
    List<ConnectionId> all() {
        return ids;
    }

    /**
     * Whether a datagram of the server resets the connection: it ends with the token of one of the IDs (RFC 9000 section
     * 10.3.1). All tokens are compared, so that the time does not depend on which one matches.
     */
    boolean isStatelessReset(byte[] datagram, StatelessReset key) {
        if (datagram.length < StatelessReset.LEAST) {
            return false;
        }
        boolean isFound = false;
        for (int i = 0; i < ids.size(); i++) {
            byte[] token = resetTokens.get(i);
            if (token == null) {
                token = key.token(ids.get(i));
                resetTokens.set(i, token);
            }
            isFound |= Arrays.equals(token, 0, token.length, datagram, datagram.length - token.length, datagram.length);
        }
        return isFound;
    }
}
