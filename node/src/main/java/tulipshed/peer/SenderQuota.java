package tulipshed.peer;

/** Counts the messages of one sender against a quota for each second. Confined to the event-loop thread. */
final class SenderQuota {
    private static final double SECOND_MS = 1000;

    private final int nodeIndex;
    private double secondStartedMs = Double.NEGATIVE_INFINITY;
    private int count;

    /** Creates the quota of the node with this index. */
    SenderQuota(int nodeIndex) {
        this.nodeIndex = nodeIndex;
    }

    /** The index of the sender. */
    int nodeIndex() {
        return nodeIndex;
    }

    /**
     * Counts one more message; a second begins with the first message after the one before has ended.
     *
     * @return whether the message is within the quota
     */
    boolean tryAcquire(double nowMs, int maxPerSecond) {
        if (nowMs >= secondStartedMs + SECOND_MS) {
            secondStartedMs = nowMs;
            count = 0;
        }
        count++;
        return count <= maxPerSecond;
    }
}
