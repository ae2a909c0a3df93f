package tulipshed.lineprotocol;

/**
 * Detects an endpoint that does not respond to its client's input. A running endpoint responds immediately unless it is
 * paused, so a short timeout that exceeds its pauses suffices; but after this node itself was suspended, responses that
 * arrived long ago may still be unread. The timeout must therefore have expired at two successive checks, between which all
 * available input was read. Does no I/O; confined to the event-loop thread.
 */
final class InactivityDetector {
    /** The value of {@link #waitingSinceMs} while no response is awaited. */
    private static final double NOT_WAITING = Double.NaN;

    private final double timeoutMs;
    private double waitingSinceMs = NOT_WAITING;
    private boolean isSuspected;

    /** Creates a detector; the timeout has to exceed the longest pause of a running endpoint. */
    InactivityDetector(double timeoutMs) {
        this.timeoutMs = timeoutMs;
    }

    /** Records input of the client; the timeout starts with the first input that has no response yet. */
    void onClientInput(double nowMs) {
        if (Double.isNaN(waitingSinceMs)) {
            waitingSinceMs = nowMs;
        }
    }

    /** Records input of the endpoint, which stops the timeout. */
    void onEndpointInput() {
        waitingSinceMs = NOT_WAITING;
        isSuspected = false;
    }

    /** Performs one check; returns whether the timeout had expired at this check and the previous one. */
    boolean checkUnresponsive(double nowMs) {
        boolean isExpired = nowMs - waitingSinceMs > timeoutMs;
        boolean wasSuspected = isSuspected;
        isSuspected = isExpired;
        return isExpired && wasSuspected;
    }
}
