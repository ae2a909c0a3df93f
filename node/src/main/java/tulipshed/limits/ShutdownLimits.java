package tulipshed.limits;

/**
 * Graceful shutdown and hot restart.
 *
 * @param acceptMs how long after SIGTERM new connections are accepted
 * @param migrateAfterMs how long after SIGTERM clients are first asked to migrate; the other nodes may be restarting
 *     until then
 * @param maxDeadlineMs the longest deadline of a request that the shutdown waits for
 * @param killAfterDeadlineMs how long after the longest deadline, counted from SIGTERM, the process may be killed
 * @param holdUpMs how long the process may be held up at any moment and must still end before it is killed
 * @param exitMs what the process takes from SIGTERM to its shutdown hook, and from that to its exit
 * @param signalOrderMs how long after a reload it may still have come after a signal to end
 * @param lingerMs how long connections that end without a request may take to be closed by their clients
 * @param responseLingerMs the same for those that get their final response last
 * @param minLingerMs the same at least, with the shortest deadlines
 * @param sharedIds the most connection IDs that a process publishes to the other process of its node
 */
public record ShutdownLimits(
        double acceptMs,
        double migrateAfterMs,
        double maxDeadlineMs,
        double killAfterDeadlineMs,
        double holdUpMs,
        double exitMs,
        double signalOrderMs,
        double lingerMs,
        double responseLingerMs,
        double minLingerMs,
        int sharedIds) {
    /** The default limits. */
    static ShutdownLimits defaults() {
        return new ShutdownLimits(
                /* acceptMs= */ 500,
                /* migrateAfterMs= */ 1_500,
                /* maxDeadlineMs= */ 3_000,
                /* killAfterDeadlineMs= */ 700,
                /* holdUpMs= */ 150,
                /* exitMs= */ 50,
                /* signalOrderMs= */ 500,
                /* lingerMs= */ 300,
                /* responseLingerMs= */ 100,
                /* minLingerMs= */ 50,
                /* sharedIds= */ 4096);
    }
}
