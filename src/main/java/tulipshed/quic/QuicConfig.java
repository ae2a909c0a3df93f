package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.Map;
import tulipshed.operators.QuicSection;

/**
 * What the second front works with: where it listens, what a connection is taken to ask for unless rules say otherwise,
 * how ids carry their server, which member has which server id, and the key shared for resets.
 */
public record QuicConfig(InetSocketAddress listen, String requestClass, String tenant, double deadlineMs, ServerIds ids,
        Map<String, String> membersByServer, StatelessReset reset) {

    /** From what the operators' file says, which has been checked. */
    public static QuicConfig of(QuicSection s) {
        return new QuicConfig(s.listen(), s.requestClass(), s.tenant(), s.deadlineMs(),
                new ServerIds(s.configuration(), s.serverIdBytes(), s.nonceBytes(), s.key()), s.servers(),
                new StatelessReset(s.resetKey()));
    }

    /** The member to which an id belongs by the server id in it, or null. */
    String member(ConnectionId id) {
        byte[] server = ids.server(id);
        return server == null ? null : membersByServer.get(HexFormat.of().formatHex(server));
    }
}
