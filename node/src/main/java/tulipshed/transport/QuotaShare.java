package tulipshed.transport;

/** Division of a node's quotas between its two processes during a hot restart. */
final class QuotaShare {
    private static final double FULL = 1;
    private static final double HALF = 0.5;
    private static final double NONE = 0;

    private QuotaShare() {}

    /**
     * Returns the share of this process, from 0 to 1: 1 if the other process does not accept clients; half if its state
     * is unknown, as it may accept clients too, or if it accepts clients and this one is not shutting down (also while
     * this one is starting); else 0.
     */
    static double of(ProcessState own, ProcessState peer) {
        return switch (peer) {
            case SERVING -> own == ProcessState.LEAVING ? NONE : HALF;
            case UNKNOWN -> HALF;
            case NONE, STARTING, LEAVING -> FULL;
        };
    }
}
