package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import org.jboss.logging.Logger;
import tulipshed.limits.Limits;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.ConnectionLoop;
import tulipshed.transport.ProtocolErrorLog;

/**
 * What all connections of one frontend share.
 *
 * @param readBuffer used by whichever connection reads; holds nothing between two notifications
 * @param clientErrors counts clients that are rejected for malformed input
 * @param upstreamErrors counts malformed lines of endpoints
 * @param defects counts connections that were ended because of a defect of this program
 * @param upstreamLog the log of what passes between the node and its endpoints
 */
record FrontendContext(
        Clock clock,
        Limits limits,
        ConnectionLoop eventLoop,
        ProxyCore core,
        ByteBuffer readBuffer,
        ProtocolErrorLog clientErrors,
        ProtocolErrorLog upstreamErrors,
        ProtocolErrorLog defects,
        Logger upstreamLog) {

    /** Counts a defect of this program that was met while one connection was served; quotes no input. */
    void recordDefect(Throwable defect) {
        StackTraceElement[] trace = defect.getStackTrace();
        String location = trace.length > 0 ? trace[0].toString() : "unknown location";
        defects.record(defect.getClass().getName() + " at " + location);
    }
}
