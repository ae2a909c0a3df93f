package tulipshed.quic;

import java.net.InetSocketAddress;
import tulipshed.connectionid.ServerIds;
import tulipshed.connectionid.StatelessReset;
import tulipshed.limits.Limits;
import tulipshed.operators.ConnectionIdSection;
import tulipshed.operators.QuicSection;
import tulipshed.operators.RetrySection;
import tulipshed.time.WallClock;

/**
 * What the second front works with: where it listens, and besides where servers may tell clients to go (null
 * for nowhere), what a connection is taken to ask for unless rules say otherwise,
 * how ids carry their server, the key shared for resets, and the tokens and the threshold of Retry, null where the node
 * never asks for proof of an address.
 */
public record QuicConfig(
        InetSocketAddress listen,
        InetSocketAddress preferred,
        String requestClass,
        String tenant,
        double deadlineMs,
        ConnectionIdConfigurations ids,
        StatelessReset reset,
        RetryTokens tokens,
        RetryPolicy policy) {

    /** From what the operators' file says, which has been checked. */
    public static QuicConfig of(QuicSection s, Limits limits, WallClock wallClock) {
        ConnectionIdConfigurations ids = new ConnectionIdConfigurations();
        for (ConnectionIdSection i : s.ids()) {
            ids = ids.with(
                    new ServerIds(i.configuration(), i.serverIdBytes(), i.nonceBytes(), i.connectionBytes(), i.key()),
                    i.servers());
        }
        RetrySection r = s.retry();
        return new QuicConfig(
                s.listen(),
                s.preferred(),
                s.requestClass(),
                s.tenant(),
                s.deadlineMs(),
                ids,
                new StatelessReset(s.resetKey()),
                r == null
                        ? null
                        : new RetryTokens(
                                r.keys(), r.use(), r.expiresMs(), limits.quic().tokenClockToleranceMs(), wallClock),
                r == null ? null : new RetryPolicy(r.on(), r.off(), r.stayMs()));
    }
}
