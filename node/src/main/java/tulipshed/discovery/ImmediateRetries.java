package tulipshed.discovery;

/**
 * Decides which failed calls are retried without a pause: a long poll, or a catch-up call that replaced it, whose
 * response does not begin or is not complete within its timeout, and likewise the retry of such a call. Such a call has
 * already lasted as long as a pause would; after two of them, another pause would exceed the 6 s within which a change
 * has to be known. A refused or interrupted call is always followed by a pause: under overload or in an outage the
 * calls of all nodes fail in this way. Confined to the event-loop thread.
 */
final class ImmediateRetries {
    /** Maximum number of immediate retries in a row. */
    static final int MAX_RETRIES = 2;

    /** Number of retries since the last response or reported failure. */
    private int count;

    /**
     * Whether the failed call may be retried at once.
     *
     * @param isWatching whether the call was a long poll or replaced one
     */
    boolean permits(CallFailure failure, boolean isWatching) {
        return failure.isResponseTimeout() && (isWatching || count > 0) && count < MAX_RETRIES;
    }

    /** Records an immediate retry. */
    void increment() {
        count++;
    }

    /** Resets the count after a response or a reported failure. */
    void reset() {
        count = 0;
    }
}
