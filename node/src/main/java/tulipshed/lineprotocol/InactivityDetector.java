package tulipshed.lineprotocol;

/**
 * Whether a member that owes an answer to a client's line has gone without a word. A member that runs answers at once, so
 * silence soon says it; but a node that has itself stood still finds answers unread that came long ago. So the silence must
 * last over two looks, between which all that had come was read. Does no I/O; times are in milliseconds.
 */
final class InactivityDetector {
    private final double bearableMs;
    private double askedMs = Double.NaN;
    private boolean suspected;

    /** One that is borne for this long, longer than a member may pause. */
    InactivityDetector(double bearableMs) {
        this.bearableMs = bearableMs;
    }

    /** The client sent something; what it sent before and is not answered counts from then. */
    void requestSent(double nowMs) {
        if (Double.isNaN(askedMs)) {
            askedMs = nowMs;
        }
    }

    /** The member sent something. */
    void responseReceived() {
        askedMs = Double.NaN;
        suspected = false;
    }

    /** A look, with turns of reading between any two: whether the member is gone. */
    boolean isUnresponsive(double nowMs) {
        boolean silent = nowMs - askedMs > bearableMs;
        boolean gone = silent && suspected;
        suspected = silent;
        return gone;
    }
}
