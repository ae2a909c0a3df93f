package tulipshed.discovery;

/**
 * Which failed calls are repeated without a pause: those whose response is late, those that follow such a repeat, and those
 * that fail so late that a pause and one more late response would not fit into the 6 s after which a change counts as known.
 * These calls have lasted about as long as a pause would, so that no herd of calls comes of it. Confined to the event-loop
 * thread.
 */
final class ImmediateRepeats {
    /** How often in a row a failed call is repeated at once. */
    static final int MAX_REPEATS = 2;

    /** The latest failure, by the time since the last response, that a pause may follow. */
    static final double LATEST_PAUSE_MS = 2_000;

    /** After a reported failure, calls that fail sooner are met with a pause: in an outage all nodes' calls do. */
    static final double SHORT_CALL_MS = 500;

    /** Since the last response or reported failure. */
    private int count;

    /**
     * Whether the call that failed may be repeated at once.
     *
     * @param isFirstFailure whether no failure was reported since the last response
     * @param lastedMs how long the call lasted, in milliseconds
     * @param sinceResponseMs the time since the last response, in milliseconds; NaN before the first
     */
    boolean permits(CallFailure failure, boolean isFirstFailure, double lastedMs, double sinceResponseMs) {
        if (count >= MAX_REPEATS) {
            return false;
        }
        boolean wouldPauseBeLate = sinceResponseMs > LATEST_PAUSE_MS;
        return failure.isResponseTimeout()
                || count > 0
                || (wouldPauseBeLate && (isFirstFailure || lastedMs > SHORT_CALL_MS));
    }

    /** A call is repeated. */
    void increment() {
        count++;
    }

    /** A response arrived, or a failure was reported. */
    void reset() {
        count = 0;
    }
}
