package tulipshed.discovery;

/**
 * Which failed calls are repeated without a pause: a long poll whose response is late or incomplete, or a call that replaced
 * it in order to catch up, and the call in its place where that one's is too. Such a call has lasted as long as a pause would,
 * and after two of them a pause would not fit into the 6 s after which a change counts as known. A call that is refused or cut
 * off is met with a pause always: in a crowd or an outage that is what all nodes' calls meet. Confined to the event-loop
 * thread.
 */
final class ImmediateRepeats {
    /** How often in a row a failed call is repeated at once. */
    static final int MAX_REPEATS = 2;

    /** Since the last response or reported failure. */
    private int count;

    /**
     * Whether the call that failed may be repeated at once.
     *
     * @param isWatching whether the call might wait for changes, or replaced one that did
     */
    boolean permits(CallFailure failure, boolean isWatching) {
        return failure.isResponseTimeout() && (isWatching || count > 0) && count < MAX_REPEATS;
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
