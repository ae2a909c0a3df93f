package tulipshed.limits;

/**
 * The platform's line protocol.
 *
 * @param lineBytes the length of the longest line, its end included
 * @param firstLineTimeoutMs how long the first line may take to be complete
 * @param pings the pings that a connection may send before its first line
 * @param longestWaitMs the longest timeout that a client may declare
 * @param protocolErrorLogMs the time between two log lines about malformed input
 * @param maxRedials how often an attempt is dialed again where this machine itself could not begin to connect
 * @param firstRedialPauseMs the pause before the second of those dials, as the first follows at once; each further
 *     pause is twice as long as the one before
 */
public record LineProtocolLimits(
        int lineBytes,
        double firstLineTimeoutMs,
        int pings,
        double longestWaitMs,
        double protocolErrorLogMs,
        int maxRedials,
        double firstRedialPauseMs) {
    private static final int KIBIBYTE = 1024;

    /** The default limits. */
    static LineProtocolLimits defaults() {
        return new LineProtocolLimits(
                /* lineBytes= */ 4 * KIBIBYTE,
                /* firstLineTimeoutMs= */ 2_000,
                /* pings= */ 16,
                /* longestWaitMs= */ 120_000,
                /* protocolErrorLogMs= */ 10_000,
                /* maxRedials= */ 5,
                /* firstRedialPauseMs= */ 2);
    }
}
