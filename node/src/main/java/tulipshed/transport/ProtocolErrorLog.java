package tulipshed.transport;

import org.jboss.logging.Logger;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;

/** Tells the log of others that send what cannot be used: how many, and never what they sent. */
public final class ProtocolErrorLog {
    private final String what;
    private final Limits limits;
    private final Logger log;
    private int count;
    private String last = "";
    private double toldMs = Double.NEGATIVE_INFINITY;

    /** Counts events named {@code what}, and logs them under {@code subject}. */
    public ProtocolErrorLog(String subject, String what, Limits limits, NodeLog log) {
        this.what = what;
        this.limits = limits;
        this.log = log.logger(subject);
    }

    /** One more; {@code why} is ours, never the sender's. */
    public void record(String why) {
        count++;
        last = why;
    }

    /** One line at most for all that came since the line before, and not too often. */
    public void flush(double nowMs) {
        if (count > 0 && nowMs - toldMs >= limits.lineProtocol().protocolErrorLogMs()) {
            log.warn(what + ": " + count + ", last: " + last);
            toldMs = nowMs;
            count = 0;
        }
    }
}
