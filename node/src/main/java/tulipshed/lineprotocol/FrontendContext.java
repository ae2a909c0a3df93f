package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import org.jboss.logging.Logger;
import tulipshed.limits.Limits;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.ConnectionLoop;
import tulipshed.transport.ProtocolErrorLog;

/**
 * Services and state shared by all connections of one frontend.
 *
 * @param readBuffer the buffer of whichever connection is reading; its content is not kept between events
 * @param clientErrors counts clients that are failed for violating the protocol
 * @param upstreamErrors counts malformed or unexpected lines of endpoints
 * @param defects counts connections that were ended because of a defect of this program
 * @param upstreamLog the logger for traffic between the node and its endpoints
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

    /** Counts a defect of this program that occurred while a connection was served; logs no input. */
    void recordDefect(Throwable defect) {
        StackTraceElement[] trace = defect.getStackTrace();
        String location = trace.length > 0 ? trace[0].toString() : "unknown location";
        defects.record(defect.getClass().getName() + " at " + location);
    }
}
