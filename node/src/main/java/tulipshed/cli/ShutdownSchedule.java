package tulipshed.cli;

import java.util.stream.DoubleStream;
import tulipshed.limits.ShutdownLimits;

/**
 * When the phases of a graceful shutdown begin and end, in milliseconds since SIGTERM.
 *
 * <p>SIGKILL may follow SIGTERM by the longest deadline of the settings, of which at most {@link
 * ShutdownLimits#maxDeadlineMs} counts, and {@link ShutdownLimits#killAfterDeadlineMs}. All of it is over so long before
 * that a process which is held up once still ends in time; the time is not counted from any later event, and settings that
 * are reloaded meanwhile do not change it. A request that arrives in the last moment in which the load balancer in front of the node sends any keeps
 * its full deadline.
 *
 * @param acceptUntilMs until when new connections are accepted
 * @param migrateFromMs from when established clients are migrated
 * @param migrateUntilMs by when all of them are; those established later are migrated at once
 * @param rejectWaitingMs from when clients whose open command has not arrived are rejected
 * @param rejectPendingMs from when requests without a final response are answered
 * @param endFromMs from when the shutdown ends as soon as nothing is open
 * @param closeMs when the shutdown ends, whatever is open still
 */
record ShutdownSchedule(
        double acceptUntilMs,
        double migrateFromMs,
        double migrateUntilMs,
        double rejectWaitingMs,
        double rejectPendingMs,
        double endFromMs,
        double closeMs) {

    /** Migration starts by this part of the time until its end at the latest: a half. */
    private static final int MIGRATION_START_DIVISOR = 2;

    /** The last migrated connection lingers for this part of the usual time at least, however short the deadlines: a half. */
    private static final int MIGRATION_LINGER_DIVISOR = 2;

    /** The schedule of a process that ends without another one of its node. */
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
     * The same for a process that has handed over to another one: that one listens already, and what arrives from now on is
     * better served there.
     */
    ShutdownSchedule afterHandover() {
        return new ShutdownSchedule(0, 0, migrateUntilMs, rejectWaitingMs, rejectPendingMs, 0, closeMs);
    }

    /** How long after {@code elapsedMs} the next phase begins or ends; infinite after the last. */
    double untilNextPhaseMs(double elapsedMs) {
        return DoubleStream.of(acceptUntilMs, migrateFromMs, migrateUntilMs, rejectWaitingMs, rejectPendingMs, closeMs)
                .filter(phaseMs -> phaseMs > elapsedMs)
                .map(phaseMs -> phaseMs - elapsedMs)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
