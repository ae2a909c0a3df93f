package tulipshed.limits;

/**
 * Limits of graceful shutdown and hot restart.
 *
 * @param acceptMs the time after SIGTERM for which new connections are accepted
 * @param migrateAfterMs the time after SIGTERM at which the first clients are migrated; the other nodes may be restarting
 *     until then
 * @param maxDeadlineMs the longest deadline of a request that the shutdown waits for
 * @param killAfterDeadlineMs the time after which the process may be killed, counted from SIGTERM and in addition to the
 *     longest deadline
 * @param maxStallMs the longest stall of the process, at any moment, after which it must still exit before it is killed
 * @param exitMs the total time from SIGTERM to the start of the shutdown hook and from the end of the hook to the exit
 * @param signalReorderMs the time after a reload during which a termination signal may in fact have preceded the reload
 *     signal
 * @param lingerMs the time that clients have to close connections that end without a request
 * @param responseLingerMs the time that clients have to close the connections that get their final response last
 * @param minLingerMs the minimum time from the end of accepting connections to the closing of all connections, which shortens
 *     the time of accepting if deadlines are very short
 * @param listSharingIntervalMs the interval at which the two processes of a node exchange their endpoint lists; a change that
 *     one of them learns must reach the other well within the 300 ms grace of a drain
 * @param maxSharedIds the maximum number of connection IDs that a process publishes to the other process of its node
 */
public record ShutdownLimits(
        double acceptMs,
        double migrateAfterMs,
        double maxDeadlineMs,
        double killAfterDeadlineMs,
        double maxStallMs,
        double exitMs,
        double signalReorderMs,
        double lingerMs,
        double responseLingerMs,
        double minLingerMs,
        double listSharingIntervalMs,
        int maxSharedIds) {
    /** The default limits. */
    static ShutdownLimits defaults() {
        return new ShutdownLimits(
                /* acceptMs= */ 500,
                /* migrateAfterMs= */ 1_500,
                /* maxDeadlineMs= */ 3_000,
                /* killAfterDeadlineMs= */ 700,
                /* maxStallMs= */ 150,
                /* exitMs= */ 50,
                /* signalReorderMs= */ 500,
                /* lingerMs= */ 300,
                /* responseLingerMs= */ 100,
                /* minLingerMs= */ 50,
                /* listSharingIntervalMs= */ 50,
                /* maxSharedIds= */ 4096);
    }
}
