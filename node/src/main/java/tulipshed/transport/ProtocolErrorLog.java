package tulipshed.transport;

import org.jboss.logging.Logger;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;

/**
 * Logs protocol errors of remote parties at a limited rate. Lines contain the number of errors and never any received
 * data. The owner calls {@link #flush} periodically. Confined to the event-loop thread.
 */
public final class ProtocolErrorLog {
    private final Limits limits;
    private final Logger log;
    private final EventSummary summary;
    private double lastLoggedMs = Double.NEGATIVE_INFINITY;

    /** Creates a log that counts events named {@code eventName} and logs them with the given subject. */
    public ProtocolErrorLog(String subject, String eventName, Limits limits, NodeLog log) {
        summary = new EventSummary(eventName);
        this.limits = limits;
        this.log = log.logger(subject);
    }

    /** Counts one event; {@code reason} must be a constant text of this program, never received data. */
    public void record(String reason) {
        summary.add(reason);
    }

    /** Logs one line for all events since the last line, unless that line is too recent. */
    public void flush(double nowMs) {
        if (!summary.isEmpty() && nowMs - lastLoggedMs >= limits.lineProtocol().protocolErrorLogMs()) {
            log.warn(summary.takeLine());
            lastLoggedMs = nowMs;
        }
    }
}
