package tulipshed.transport;

import java.io.IOException;
import org.jboss.logging.Logger;

/**
 * Logs when the storage of a hot restart becomes unavailable and when it is available again: one line at the first
 * failure, none for failures that follow it closely, one at the end. Time is counted in refreshes. Confined to the
 * event-loop thread.
 */
final class HotRestartFailureLog {
    /**
     * Number of refreshes without a failure after which the next failure is logged again: 1 min at the refresh interval
     * of a node.
     */
    private static final int QUIET_REFRESHES = 240;

    private final Logger log;
    private int quietRefreshesLeft;

    /** Whether a failure was logged and its end was not logged yet. */
    private boolean isFailureLogged;

    /** Whether a failure has occurred since {@link #startAttempt}. */
    private boolean hasFailed;

    /** Creates a failure log that writes to {@code log}. */
    HotRestartFailureLog(Logger log) {
        this.log = log;
    }

    /** Counts one refresh. */
    void countRefresh() {
        quietRefreshesLeft--;
    }

    /** Starts an attempt to use the storage; if it succeeds, earlier failures have ended. */
    void startAttempt() {
        hasFailed = false;
    }

    /** Records one failure. */
    void record(IOException failure) {
        hasFailed = true;
        if (quietRefreshesLeft <= 0) {
            log.warn("hot restart unavailable, cannot use TMPDIR: " + failure);
            isFailureLogged = true;
        }
        quietRefreshesLeft = QUIET_REFRESHES;
    }

    /** Logs the end of a logged failure, unless a failure has occurred since {@link #startAttempt}. */
    void recordSuccess() {
        if (isFailureLogged && !hasFailed) {
            isFailureLogged = false;
            log.info("hot restart available again");
        }
    }
}
