package tulipshed.lineprotocol;

import java.util.OptionalDouble;
import tulipshed.limits.LineProtocolLimits;

/**
 * The delays after which the connection of one attempt is dialed again, where this machine itself could not begin to
 * connect: at once first, then after pauses that double, and only so often. Does no I/O; confined to the event-loop thread.
 */
final class RedialBackoff {
    private final int maxRedials;
    private final double firstPauseMs;
    private int redialCount;
    private double nextDelayMs;

    /** The delays of one attempt, none used yet. */
    RedialBackoff(LineProtocolLimits limits) {
        maxRedials = limits.maxRedials();
        firstPauseMs = limits.firstRedialPauseMs();
    }

    /** The delay before the next dial; empty if there are to be no more, or if the attempt has no time for it. */
    OptionalDouble nextDelayMs(double remainingWaitMs) {
        if (redialCount == maxRedials || nextDelayMs >= remainingWaitMs) {
            return OptionalDouble.empty();
        }
        redialCount++;
        double delayMs = nextDelayMs;
        nextDelayMs = Math.max(firstPauseMs, 2 * nextDelayMs);
        return OptionalDouble.of(delayMs);
    }
}
