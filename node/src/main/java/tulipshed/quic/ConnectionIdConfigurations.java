package tulipshed.quic;

import java.util.HashMap;
import java.util.Map;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.ServerIds;

/**
 * The active configurations of connection IDs: up to seven, told apart by the upper three bits of an ID's first byte (QUIC-LB
 * section 3.1), so that servers can change to a new one while connections of the old one are open. Immutable.
 */
final class ConnectionIdConfigurations {
    /** The configuration of IDs that carry no server ID (QUIC-LB section 3.2). */
    static final int UNROUTABLE = ServerIds.CONFIGURATIONS;

    private static final int CONFIGURATION_SHIFT = 5;
    private static final int CONFIGURATION_MASK = 7;
    private static final int LENGTH_MASK = 0x1F;

    private final ServerIds[] configurations = new ServerIds[UNROUTABLE];
    private final Map<Integer, Map<String, String>> endpointIds = new HashMap<>();

    /** These configurations and another one, with the ID of the endpoint for each of its server IDs, in hexadecimal. */
    ConnectionIdConfigurations with(ServerIds added, Map<String, String> endpointIdsByServerId) {
        ConnectionIdConfigurations extended = new ConnectionIdConfigurations();
        System.arraycopy(configurations, 0, extended.configurations, 0, configurations.length);
        extended.endpointIds.putAll(endpointIds);
        extended.configurations[added.configuration()] = added;
        extended.endpointIds.put(added.configuration(), Map.copyOf(endpointIdsByServerId));
        return extended;
    }

    /**
     * The length of an ID by its first byte, as short headers do not carry it: that of its configuration, or what its lower
     * five bits say, which servers may set so (QUIC-LB section 3.3).
     */
    int length(int firstByte) {
        int configuration = firstByte >> CONFIGURATION_SHIFT & CONFIGURATION_MASK;
        return configuration != UNROUTABLE && configurations[configuration] != null
                ? configurations[configuration].idLength()
                : Math.min(ConnectionId.LONGEST, 1 + (firstByte & LENGTH_MASK));
    }

    /** Where an ID leads by its server ID; null where it leads nowhere. */
    ConnectionIdRoute route(ConnectionId id) {
        int configuration = id.length() == 0 ? UNROUTABLE : id.first() >> CONFIGURATION_SHIFT;
        ServerIds.Lead decoded = configuration == UNROUTABLE || configurations[configuration] == null
                ? null
                : configurations[configuration].read(id);
        String endpointId =
                decoded == null ? null : endpointIds.get(configuration).get(decoded.server());
        return endpointId == null ? null : new ConnectionIdRoute(endpointId, decoded.connection());
    }
}
