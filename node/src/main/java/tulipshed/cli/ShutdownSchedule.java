package tulipshed.cli;

import java.util.stream.DoubleStream;
import tulipshed.limits.ShutdownLimits;

/**
 * The times at which the phases of a graceful shutdown begin and end, in milliseconds since SIGTERM.
 *
 * <p>SIGKILL may follow SIGTERM after the longest deadline of the settings, capped at {@link
 * ShutdownLimits#maxDeadlineMs}, plus {@link ShutdownLimits#killAfterDeadlineMs}. The schedule ends early enough that a
 * process which is paused once, for at most {@link ShutdownLimits#maxStallMs}, still exits before SIGKILL. All times are
 * relative to SIGTERM, not to a later event, and settings that are reloaded during the shutdown do not change them. A
 * request that arrives at the last moment at which the load balancer in front of the node still sends requests keeps
 * its deadline, up to {@link ShutdownLimits#maxDeadlineMs}.
 *
 * @param acceptUntilMs when the node stops accepting new connections
 * @param migrateFromMs when the migration of established clients begins
 * @param migrateUntilMs when all established clients are migrated; clients established later are migrated at once
 * @param rejectWaitingMs when the rejection of clients whose open command has not arrived begins
 * @param rejectPendingMs when the rejection of requests without a final response begins
 * @param endWhenIdleMs from when on the shutdown ends as soon as no client connection is open
 * @param closeMs when the shutdown ends, even if connections are still open
 */
record ShutdownSchedule(
        double acceptUntilMs,
        double migrateFromMs,
        double migrateUntilMs,
        double rejectWaitingMs,
        double rejectPendingMs,
        double endWhenIdleMs,
        double closeMs) {

    /** Migration starts no later than the end of the migration phase divided by this. */
    private static final int MIGRATION_START_DIVISOR = 2;

    /**
     * The last migrated connection lingers for at least the usual time divided by this, however short the deadlines
     * are.
     */
    private static final int MIGRATION_LINGER_DIVISOR = 2;

    /** Returns the schedule of a process that ends without handing over to a hot-restart peer. */
    static ShutdownSchedule of(ShutdownLimits limits, double longestDeadlineMs) {
        double killMs = Math.min(limits.maxDeadlineMs(), longestDeadlineMs) + limits.killAfterDeadlineMs();
        double closeMs = killMs - limits.maxStallMs() - limits.exitMs();
        double acceptUntilMs = Math.min(limits.acceptMs(), closeMs - limits.minLingerMs());
        double rejectWaitingMs = Math.max(acceptUntilMs, closeMs - limits.lingerMs());
        double migrateUntilMs = Math.min(rejectWaitingMs, closeMs - limits.lingerMs() / MIGRATION_LINGER_DIVISOR);
        return new ShutdownSchedule(
                acceptUntilMs,
                Math.min(limits.migrateAfterMs(), migrateUntilMs / MIGRATION_START_DIVISOR),
                migrateUntilMs,
                rejectWaitingMs,
                Math.max(acceptUntilMs, closeMs - limits.responseLingerMs()),
                rejectWaitingMs,
                closeMs);
    }

    /**
     * Returns this schedule for a process that hands over to its hot-restart peer, which already listens and is to
     * serve all new connections.
     */
    ShutdownSchedule afterHandover() {
        return new ShutdownSchedule(0, 0, migrateUntilMs, rejectWaitingMs, rejectPendingMs, 0, closeMs);
    }

    /** Returns the time from {@code elapsedMs} until the next phase begins or ends; infinite after the last one. */
    double untilNextPhaseMs(double elapsedMs) {
        return DoubleStream.of(acceptUntilMs, migrateFromMs, migrateUntilMs, rejectWaitingMs, rejectPendingMs, closeMs)
                .filter(phaseMs -> phaseMs > elapsedMs)
                .map(phaseMs -> phaseMs - elapsedMs)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
