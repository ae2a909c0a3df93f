package tulipshed.transport;

import java.io.IOException;
import org.jboss.logging.Logger;

/**
 * Logs that the storage of a hot restart cannot be used, and that it can be used again: one line at the first failure, none
 * for those that follow soon, one at the end. Time is counted in refreshes. Confined to the event-loop thread.
 */
final class HotRestartFailureLog {
    /** Refreshes without a failure after which a failure is logged again: a minute at the interval of a node. */
    private static final int REFRESHES_UNTIL_QUIET = 240;

    private final Logger log;
    private int refreshesUntilFailureIsLogged;

    /** Whether a failure was logged and not yet its end. */
    private boolean isFailureLogged;

    /** Whether anything has failed since {@link #startAttempt}. */
    private boolean hasFailed;

    /** Logs to {@code log}. */
    HotRestartFailureLog(Logger log) {
        this.log = log;
    }

    /** Counts one refresh. */
    void countRefresh() {
        refreshesUntilFailureIsLogged--;
    }

    /** The storage is about to be used; failures before are over if it can be used. */
    void startAttempt() {
        hasFailed = false;
    }

    /** Records one failure. */
    void record(IOException failure) {
        hasFailed = true;
        if (refreshesUntilFailureIsLogged <= 0) {
            log.warn("hot restart unavailable, cannot use TMPDIR: " + failure);
            isFailureLogged = true;
        }
        refreshesUntilFailureIsLogged = REFRESHES_UNTIL_QUIET;
    }

    /** Logs the end of a logged failure, unless something has failed since {@link #startAttempt}. */
    void recordSuccess() {
        if (isFailureLogged && !hasFailed) {
            isFailureLogged = false;
            log.info("hot restart available again");
        }
    }
}
