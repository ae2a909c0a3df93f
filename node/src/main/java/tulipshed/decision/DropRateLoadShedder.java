package tulipshed.decision;

/**
 * Rejects some reconnecting clients while ready endpoints drop connections. For a balancer with few connections, drops
 * are the only sign of overload, and endpoints drop the connections with the highest load first. Confined to the
 * event-loop thread.
 */
final class DropRateLoadShedder {
    private static final double TIME_CONSTANT_US = 15e6; // approximate duration of an overload or a slow start
    private static final double PROBABILITY_PER_DROPPED_SHARE = 8; // endpoints drop an eighth at a time
    private static final double MAX_PROBABILITY = 0.9; // the clients still admitted reveal the end of the overload

    private final DecayingCounter dropped = new DecayingCounter(TIME_CONSTANT_US);

    /** Counts an established connection that was dropped by a ready endpoint. */
    void recordDrop(long nowUs) {
        dropped.add(nowUs);
    }

    /** Probability of rejecting a reconnecting client; 0 with at least one connection per ready endpoint. */
    double rejectionProbability(long nowUs, int open, int ready) {
        double recent = dropped.at(nowUs);
        double probability = PROBABILITY_PER_DROPPED_SHARE * recent / (open + 1 + recent);
        return open < ready ? Math.min(MAX_PROBABILITY, probability) : 0;
    }
}
