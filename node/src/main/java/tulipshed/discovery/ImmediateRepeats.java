package tulipshed.discovery;

/**
 * Which calls are repeated without a pause: a long poll whose response is late, and once more where the call that replaced it
 * got no response either. A silent call has lasted as long as a pause would, and after two of them a pause would not fit into
 * the 6 s after which a change counts as known. Confined to the event-loop thread.
 */
final class ImmediateRepeats {
    /** How often in a row a call without a response is repeated at once. */
    static final int MAX_REPEATS = 2;

    /** Since the last response or reported failure. */
    private int count;

    /** Whether the call that failed may be repeated at once. */
    boolean permits(ListRequest request, CallFailure failure) {
        return request.isLongPoll()
                ? failure.isResponseTimeout()
                : failure.equals(CallFailure.NO_RESPONSE) && count > 0 && count < MAX_REPEATS;
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
