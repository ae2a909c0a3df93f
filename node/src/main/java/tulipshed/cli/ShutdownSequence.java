package tulipshed.cli;

import org.jboss.logging.Logger;
import tulipshed.proxy.EventLoop;
import tulipshed.time.Clock;

/**
 * Executes a {@link ShutdownSchedule} in short steps on the event loop until the shutdown has ended. Times are relative
 * to the signal, so that a late step does not delay the next ones. Performs no I/O itself. Confined to the event-loop
 * thread.
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

    /** The operations of the shutdown on the node; all are called on the event-loop thread. */
    interface Actions {
        /** Accepts the connections that the kernel has queued, then stops listening. Called once. */
        void stopAccepting();

        /** Returns the number of established clients. */
        int establishedCount();

        /** Migrates the client that was established first; returns false if there is none. */
        boolean migrateOldest();

        /** Rejects the clients whose open command has not arrived. */
        void rejectWaiting();

        /** Rejects all requests that have no final response. */
        void rejectPending();

        /** Returns whether no client has an open request or connection. */
        boolean isIdle();

        /**
         * Closes the sockets of discovery, QUIC, peers and management, and completes the shutdown. Called once, after
         * all other methods.
         */
        void finish();
    }

    /**
     * Creates a sequence that {@link #run} starts.
     *
     * @param startMs when the signal arrived, by {@code clock}
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

    /** Runs the phases that are due, and schedules the next step until the shutdown ends. */
    void run() {
        double elapsedMs = clock.nowMs() - startMs;
        try {
            runPhases(elapsedMs);
        } catch (RuntimeException e) {
            // A failed step must not prevent the process from ending in time.
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
            migrateBatch(elapsedMs);
        }
    }

    /** Migrates the connections of one step, as many as it takes to migrate all of them in time. */
    private void migrateBatch(double elapsedMs) {
        double remainingMs = Math.max(STEP_INTERVAL_MS, schedule.migrateUntilMs() - elapsedMs);
        int count = (int) Math.ceil(actions.establishedCount() * STEP_INTERVAL_MS / remainingMs);
        for (int i = 0; i < count && actions.migrateOldest(); i++) {}
    }

    private boolean hasEnded(double elapsedMs) {
        return elapsedMs >= schedule.closeMs() || (elapsedMs >= schedule.endWhenIdleMs() && actions.isIdle());
    }
}
