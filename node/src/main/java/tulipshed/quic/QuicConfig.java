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
 * The configuration of the QUIC frontend.
 *
 * @param listen the address of the first listener
 * @param preferred the servers' preferred address (RFC 9000 section 9.6), where the frontend listens too; null for none
 * @param requestClass the request class of a connection, unless rules say otherwise
 * @param tenant the tenant of a connection; null for none
 * @param deadlineMs the time within which a connection is to be accepted
 * @param ids how connection IDs carry server IDs
 * @param reset the key for stateless resets, which the servers share
 * @param tokens the tokens of Retry packets; null where the node sends none
 * @param policy when Retry packets are sent; null where the node sends none
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

    /** The configuration for a valid section of the operators' file. */
    public static QuicConfig of(QuicSection section, Limits limits, WallClock wallClock) {
        ConnectionIdConfigurations ids = new ConnectionIdConfigurations();
        for (ConnectionIdSection entry : section.ids()) {
            ids = ids.with(
                    new ServerIds(
                            entry.configuration(),
                            entry.serverIdBytes(),
                            entry.nonceBytes(),
                            entry.connectionBytes(),
                            entry.key()),
                    entry.servers());
        }
        RetrySection retry = section.retry();
        return new QuicConfig(
                section.listen(),
                section.preferred(),
                section.requestClass(),
                section.tenant(),
                section.deadlineMs(),
                ids,
                new StatelessReset(section.resetKey()),
                retry == null
                        ? null
                        : new RetryTokens(
                                retry.keys(),
                                retry.use(),
                                retry.expiresMs(),
                                limits.quic().tokenClockToleranceMs(),
                                wallClock),
                retry == null ? null : new RetryPolicy(retry.on(), retry.off(), retry.stayMs()));
    }
}
