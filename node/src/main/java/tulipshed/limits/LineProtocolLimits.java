package tulipshed.limits;

/**
 * Limits of the platform's line protocol.
 *
 * @param maxLineBytes the maximum length of a line, including its terminator
 * @param firstLineTimeoutMs the timeout for a complete first line
 * @param maxPings the maximum number of pings that a connection may send before its first line
 * @param maxClientTimeoutMs the maximum timeout that a client may declare
 * @param protocolErrorLogMs the minimum time between two log lines about malformed input
 * @param maxRedials the maximum number of times that an attempt dials again after a local failure to start connecting
 * @param firstRedialPauseMs the pause before the second redial, as the first follows immediately; each further pause
 *     is twice as long as the previous one
 * @param executedIdRetentionMs how long the ID of an ended request that must not be executed twice stays in use; longer
 *     than clients take to come again
 * @param maxExecutedIds the maximum number of such IDs; the oldest is released first. Leaves half of the IDs that a process
 *     can publish to the other one to open requests
 */
public record LineProtocolLimits(
        int maxLineBytes,
        double firstLineTimeoutMs,
        int maxPings,
        double maxClientTimeoutMs,
        double protocolErrorLogMs,
        int maxRedials,
        double firstRedialPauseMs,
        double executedIdRetentionMs,
        int maxExecutedIds) {
    private static final int KIBIBYTE = 1024;

    /** The default limits. */
    static LineProtocolLimits defaults() {
        return new LineProtocolLimits(
                /* maxLineBytes= */ 4 * KIBIBYTE,
                /* firstLineTimeoutMs= */ 2_000,
                /* maxPings= */ 16,
                /* maxClientTimeoutMs= */ 120_000,
                /* protocolErrorLogMs= */ 10_000,
                /* maxRedials= */ 5,
                /* firstRedialPauseMs= */ 2,
                /* executedIdRetentionMs= */ 60_000,
                /* maxExecutedIds= */ 2_048);
    }
}
