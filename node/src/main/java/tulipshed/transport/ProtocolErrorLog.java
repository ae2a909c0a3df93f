package tulipshed.transport;

import org.jboss.logging.Logger;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;

/**
 * Logs protocol errors of remote parties at a limited rate: how many there were, and never what was sent. The owner calls
 * {@link #flush} at its sweeps. Confined to the event-loop thread.
 */
public final class ProtocolErrorLog {
    private final Limits limits;
    private final Logger log;
    private final EventSummary summary;
    private double loggedAtMs = Double.NEGATIVE_INFINITY;

    /** Counts events named {@code eventName}, and logs them under {@code subject}. */
    public ProtocolErrorLog(String subject, String eventName, Limits limits, NodeLog log) {
        summary = new EventSummary(eventName);
        this.limits = limits;
        this.log = log.logger(subject);
    }

    /** Counts one event; {@code reason} is a text of this program, never one that was received. */
    public void record(String reason) {
        summary.add(reason);
    }

    /** Logs one line for all events since the line before, unless that line is too recent. */
    public void flush(double nowMs) {
        if (!summary.isEmpty() && nowMs - loggedAtMs >= limits.lineProtocol().protocolErrorLogMs()) {
            log.warn(summary.takeLine());
            loggedAtMs = nowMs;
        }
    }
}
