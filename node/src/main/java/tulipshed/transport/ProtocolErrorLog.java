package tulipshed.transport;

import java.util.function.Consumer;
import tulipshed.limits.Limits;

/** Tells the log of others that send what cannot be used: how many, and never what they sent. */
public final class ProtocolErrorLog {
    private final String what;
    private final Limits limits;
    private final Consumer<String> log;
    private int count;
    private String last = "";
    private double toldMs = Double.NEGATIVE_INFINITY;

    /** Counts under this name, which opens the line of the log. */
    public ProtocolErrorLog(String what, Limits limits, Consumer<String> log) {
        this.what = what;
        this.limits = limits;
        this.log = log;
    }

    /** One more; {@code why} is ours, never the sender's. */
    public void record(String why) {
        count++;
        last = why;
    }

    /** One line at most for all that came since the line before, and not too often. */
    public void flush(double nowMs) {
        if (count > 0 && nowMs - toldMs >= limits.lineProtocol().protocolErrorLogMs()) {
            log.accept(what + ": " + count + ", the last for " + last);
            toldMs = nowMs;
            count = 0;
        }
    }
}
