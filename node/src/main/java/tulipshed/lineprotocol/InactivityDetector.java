package tulipshed.lineprotocol;

/**
 * Detects an endpoint that does not respond to what its client sent. A running endpoint responds at once, so a short
 * timeout suffices; but a node that was itself suspended finds responses unread that came long ago. So the timeout must
 * have expired at two successive checks, between which all available input was read. Does no I/O; confined to the
 * event-loop thread.
 */
final class InactivityDetector {
    /** In place of a time where no response is awaited. */
    private static final double NONE = Double.NaN;

    private final double timeoutMs;
    private double waitingSinceMs = NONE;
    private boolean isSuspected;

    /** A detector with a timeout that is longer than an endpoint may pause. */
    InactivityDetector(double timeoutMs) {
        this.timeoutMs = timeoutMs;
    }

    /** The client sent something; the timeout runs from the first message that has no response yet. */
    void requestSent(double nowMs) {
        if (Double.isNaN(waitingSinceMs)) {
            waitingSinceMs = nowMs;
        }
    }

    /** The endpoint sent something. */
    void responseReceived() {
        waitingSinceMs = NONE;
        isSuspected = false;
    }

    /** One check: whether this and the check before found the timeout expired. */
    boolean isUnresponsive(double nowMs) {
        boolean isExpired = nowMs - waitingSinceMs > timeoutMs;
        boolean wasSuspected = isSuspected;
        isSuspected = isExpired;
        return isExpired && wasSuspected;
    }
}
