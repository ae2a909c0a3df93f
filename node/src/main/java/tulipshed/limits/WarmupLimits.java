package tulipshed.limits;

/**
 * The exchanges that a process plays with itself before it accepts clients.
 *
 * @param burstExchanges the exchanges of one burst
 * @param targetMs how long a burst may take: a fifth of the 40 ms that the shortest requests have, as sockets and endpoints take
 *     the rest
 * @param burstsInTime the bursts in a row that have to be in time
 * @param pauseMs the pause after a burst in time, for other processes that start
 * @param timeoutMs when the process serves although its bursts are late
 */
public record WarmupLimits(int burstExchanges, double targetMs, int burstsInTime, double pauseMs, double timeoutMs) {
    /** The default limits. */
    static WarmupLimits defaults() {
        return new WarmupLimits(
                /* burstExchanges= */ 100,
                /* targetMs= */ 8,
                /* burstsInTime= */ 5,
                /* pauseMs= */ 20,
                /* timeoutMs= */ 500);
    }
}
