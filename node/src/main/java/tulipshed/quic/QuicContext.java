package tulipshed.quic;

import tulipshed.limits.Limits;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;

/**
 * What all connections of a QUIC frontend share.
 *
 * @param receiveAvailable reads the datagrams that clients have sent and that were not read yet, as many as one event reads
 */
record QuicContext(
        Clock clock,
        Limits limits,
        QuicSettings settings,
        QuicMetrics metrics,
        ConnectionTable table,
        UpstreamSocketPool sockets,
        ConnectionAdmission admission,
        StatelessResetSender resets,
        ProxyCore core,
        Runnable receiveAvailable) {}
