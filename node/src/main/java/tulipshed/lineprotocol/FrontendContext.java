package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import tulipshed.limits.Limits;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.ProtocolErrorLog;
import tulipshed.transport.XnioEventLoop;

/**
 * What all connections of one frontend share.
 *
 * @param readBuffer used by whichever connection reads; holds nothing between two notifications
 * @param clientErrors counts clients that are rejected for malformed input
 * @param upstreamErrors counts malformed lines of endpoints
 */
record FrontendContext(
        Clock clock,
        Limits limits,
        XnioEventLoop eventLoop,
        ProxyCore core,
        ByteBuffer readBuffer,
        ProtocolErrorLog clientErrors,
        ProtocolErrorLog upstreamErrors) {}
