package tulipshed.peer;

/** Limits the messages of one sender to a quota per second. Confined to the event-loop thread. */
final class SenderQuota {
    private static final double WINDOW_MS = 1000;

    private final int nodeIndex;
    private double windowStartMs = Double.NEGATIVE_INFINITY;
    private int count;

    /** Creates the quota of the node with this index. */
    SenderQuota(int nodeIndex) {
        this.nodeIndex = nodeIndex;
    }

    /** Index of the sender. */
    int nodeIndex() {
        return nodeIndex;
    }

    /**
     * Counts one message. A new one-second window begins with the first message after the previous window has ended.
     *
     * @return whether the message is within the quota
     */
    boolean tryAcquire(double nowMs, int maxPerSecond) {
        if (nowMs >= windowStartMs + WINDOW_MS) {
            windowStartMs = nowMs;
            count = 0;
        }
        count++;
        return count <= maxPerSecond;
    }
}
