package tulipshed.quic;

import java.util.HashMap;
import java.util.Map;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.ServerIds;

/**
 * The configurations of ids that are live: up to seven at once, told apart by the upper three bits of an id's first byte
 * (QUIC-LB section 3.1), so that servers can go over to a new one while connections of the old one stand.
 */
final class ConnectionIdConfigurations {
    /** Of ids that carry no server (QUIC-LB section 3.2). */
    static final int UNROUTABLE = ServerIds.CONFIGURATIONS;

    private final ServerIds[] ids = new ServerIds[UNROUTABLE];
    private final Map<Integer, Map<String, String>> members = new HashMap<>();

    /** Adds one, and which member has which server id, in hexadecimal, under it. */
    ConnectionIdConfigurations with(ServerIds one, Map<String, String> membersByServer) {
        ConnectionIdConfigurations more = new ConnectionIdConfigurations();
        System.arraycopy(ids, 0, more.ids, 0, ids.length);
        more.members.putAll(members);
        more.ids[one.configuration()] = one;
        more.members.put(one.configuration(), Map.copyOf(membersByServer));
        return more;
    }

    /**
     * How long an id is of which only the first byte is known, as in a short header: as its configuration says, else as
     * its lower five bits say, which servers may fill that way (QUIC-LB section 3.3).
     */
    int length(int first) {
        int configuration = first >> 5 & 7;
        return configuration != UNROUTABLE && ids[configuration] != null
                ? ids[configuration].idLength()
                : Math.min(ConnectionId.LONGEST, 1 + (first & 0x1F));
    }

    /** Where an id leads: a member, and the number of the connection there, -1 where its ids tell none. */
    record Place(String member, long connection) {}

    /** Where an id leads by the server id in it, or null. */
    Place place(ConnectionId id) {
        int configuration = id.length() == 0 ? UNROUTABLE : id.first() >> 5;
        ServerIds.Lead lead =
                configuration == UNROUTABLE || ids[configuration] == null ? null : ids[configuration].read(id);
        String member = lead == null ? null : members.get(configuration).get(lead.server());
        return member == null ? null : new Place(member, lead.connection());
    }
}
