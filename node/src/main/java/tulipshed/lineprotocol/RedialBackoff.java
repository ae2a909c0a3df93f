package tulipshed.lineprotocol;

import java.util.OptionalDouble;

/**
 * The delays after which the connection of one attempt is dialed again, where this machine itself could not begin to
 * connect: at once first, then after pauses that double, and only so often. Does no I/O; confined to the event-loop thread.
 */
final class RedialBackoff {
    private static final int MAX_REDIALS = 5;
    private static final double FIRST_PAUSE_MS = 2;

    private int redialCount;
    private double nextDelayMs;

    /** The delay before the next dial; empty if there are to be no more, or if the attempt has no time for it. */
    OptionalDouble nextDelayMs(double remainingWaitMs) {
        if (redialCount == MAX_REDIALS || nextDelayMs >= remainingWaitMs) {
            return OptionalDouble.empty();
        }
        redialCount++;
        double delayMs = nextDelayMs;
        nextDelayMs = Math.max(FIRST_PAUSE_MS, 2 * nextDelayMs);
        return OptionalDouble.of(delayMs);
    }
}
