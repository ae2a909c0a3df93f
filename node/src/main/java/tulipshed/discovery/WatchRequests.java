package tulipshed.discovery;

/**
 * Tracks which calls to discovery the decision module requested, and which the watch started by itself. The decision
 * module responds to each reported failure with one request to watch. So a failure is not reported while a request is
 * still expected that will retry the failed call as well. Confined to the event-loop thread.
 */
final class WatchRequests {
    /** Number of reported failures that the decision module has not yet responded to with a request. */
    private int expectedRequests;

    /** Whether the decision module requested the last call. */
    private boolean isCallRequested;

    /** Records that the decision module requested a call. */
    void requestReceived() {
        expectedRequests = Math.max(0, expectedRequests - 1);
    }

    /** Records the start of a call; {@code requested} is whether the decision module requested it. */
    void callStarted(boolean requested) {
        isCallRequested = requested;
    }

    /** Whether an expected request will retry the last call, which an earlier request started. */
    boolean willRetryLastCall() {
        return isCallRequested && expectedRequests > 0;
    }

    /** Records that a failure is reported, to which the decision module will respond with a request. */
    void failureReported() {
        expectedRequests++;
    }

    /** Resets the number of expected requests to 0. */
    void clearExpectedRequests() {
        expectedRequests = 0;
    }
}
