package tulipshed.lineprotocol;

import java.util.OptionalDouble;
import tulipshed.limits.LineProtocolLimits;

/**
 * The backoff between dials of one attempt after local connect failures, where this machine itself could not begin to
 * connect: the first redial is immediate, the delays of the following ones double, and their number is bounded. Does no I/O;
 * confined to the event-loop thread.
 */
final class RedialBackoff {
    private final int maxRedials;
    private final double minNonzeroDelayMs;
    private int redialCount;
    private double nextDelayMs;

    /** Creates the backoff of one attempt. */
    RedialBackoff(LineProtocolLimits limits) {
        maxRedials = limits.maxRedials();
        minNonzeroDelayMs = limits.firstRedialPauseMs();
    }

    /** Counts one redial and returns the delay before it; empty if none is left or the attempt has too little time left. */
    OptionalDouble takeNextDelayMs(double remainingWaitMs) {
        if (redialCount == maxRedials || nextDelayMs >= remainingWaitMs) {
            return OptionalDouble.empty();
        }
        redialCount++;
        double delayMs = nextDelayMs;
        nextDelayMs = Math.max(minNonzeroDelayMs, 2 * nextDelayMs);
        return OptionalDouble.of(delayMs);
    }
}
