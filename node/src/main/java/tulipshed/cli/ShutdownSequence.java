package tulipshed.cli;

import org.jboss.logging.Logger;
import tulipshed.proxy.EventLoop;
import tulipshed.time.Clock;

/**
 * Carries a {@link ShutdownSchedule} out: runs in short steps on the event loop until the shutdown has ended. Times are
 * counted from the signal, so that a step which is late delays no other. Without I/O. Confined to the event-loop thread.
 */
final class ShutdownSequence {
    private static final double STEP_INTERVAL_MS = 25;

    private final ShutdownSchedule schedule;
    private final double startMs;
    private final Clock clock;
    private final EventLoop loop;
    private final Logger log;
    private final Actions actions;
    private boolean accepting = true;

    /** What the shutdown does with the node; each is called on the event-loop thread. */
    interface Actions {
        /** Takes what the kernel has accepted, and listens no more. Called once. */
        void stopAccepting();

        /** Returns how many clients are established. */
        int establishedCount();

        /** Migrates the client that has been established longest; false where there is none. */
        boolean migrateOldest();

        /** Rejects the clients whose open command has not arrived. */
        void rejectWaiting();

        /** Answers all requests that have no final response. */
        void rejectPending();

        /** Returns whether nothing of a client is open. */
        boolean isIdle();

        /** Closes the sockets that remain. Called once, as the last. */
        void finish();
    }

    /**
     * Creates a sequence that {@link #run} starts.
     *
     * @param startMs when the signal arrived, on this clock
     */
    ShutdownSequence(
            ShutdownSchedule schedule, double startMs, Clock clock, EventLoop loop, Logger log, Actions actions) {
        this.schedule = schedule;
        this.startMs = startMs;
        this.clock = clock;
        this.loop = loop;
        this.log = log;
        this.actions = actions;
    }

    /** Runs the steps that are due, and schedules itself until the end. */
    void run() {
        double elapsedMs = clock.nowMs() - startMs;
        try {
            runPhases(elapsedMs);
        } catch (RuntimeException e) {
            // A defect met in one step must not keep the process from ending in time.
            log.error("shutdown step failed: " + e);
        }
        if (hasEnded(elapsedMs)) {
            actions.finish();
            return;
        }
        loop.schedule(Math.min(STEP_INTERVAL_MS, schedule.untilNextPhaseMs(elapsedMs)), this::run);
    }

    private void runPhases(double elapsedMs) {
        if (accepting && elapsedMs >= schedule.acceptUntilMs()) {
            accepting = false;
            actions.stopAccepting();
        }
        if (elapsedMs >= schedule.rejectWaitingMs()) {
            actions.rejectWaiting();
        }
        if (elapsedMs >= schedule.rejectPendingMs()) {
            actions.rejectPending();
        }
        if (elapsedMs >= schedule.migrateFromMs()) {
            migrateShare(elapsedMs);
        }
    }

    /** Migrates as many connections as one step has to so that all are migrated in time. */
    private void migrateShare(double elapsedMs) {
        double remainingMs = Math.max(STEP_INTERVAL_MS, schedule.migrateUntilMs() - elapsedMs);
        int count = (int) Math.ceil(actions.establishedCount() * STEP_INTERVAL_MS / remainingMs);
        for (int i = 0; i < count && actions.migrateOldest(); i++) {}
    }

    private boolean hasEnded(double elapsedMs) {
        return elapsedMs >= schedule.closeMs() || (elapsedMs >= schedule.endFromMs() && actions.isIdle());
    }
}
