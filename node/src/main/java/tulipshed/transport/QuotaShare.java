package tulipshed.transport;

/** Division of a node's quotas between its two processes during a hot restart. */
final class QuotaShare {
    private static final double FULL = 1;
    private static final double HALF = 0.5;
    private static final double NONE = 0;

    private QuotaShare() {}

    /**
     * Returns the share of this process, from 0 to 1: half if both processes accept clients, 0 if the other one does
     * and this one is shutting down. A process whose state is unknown may accept clients too.
     */
    static double of(ProcessState own, ProcessState peer) {
        return switch (peer) {
            case SERVING -> own == ProcessState.LEAVING ? NONE : HALF;
            case UNKNOWN -> HALF;
            case NONE, STARTING, LEAVING -> FULL;
        };
    }
}
