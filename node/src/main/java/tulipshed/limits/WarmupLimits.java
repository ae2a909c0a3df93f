package tulipshed.limits;

/**
 * Limits of the warm-up: before a process accepts clients, it runs exchanges through a frontend, a core and a decision module
 * of its own, over connections in memory (see {@link tulipshed.warmup}).
 *
 * @param burstExchanges the number of exchanges per burst
 * @param targetMs the maximum duration of a burst that counts as in time: a fifth of the 40 ms available to the shortest
 *     requests, as sockets and endpoints need the rest
 * @param burstsInTime the number of consecutive bursts that must be in time
 * @param pauseMs the pause after a burst in time, which leaves the CPU to other starting processes
 * @param timeoutMs the time after which the process serves even if its bursts are not in time
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
