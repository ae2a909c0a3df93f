package tulipshed.transport;

/** How two processes of one node divide the quotas of the node during a hot restart. */
final class QuotaShare {
    private static final double FULL = 1;
    private static final double HALF = 0.5;
    private static final double NONE = 0;

    private QuotaShare() {}

    /**
     * The share of one process, from 0 to 1: half where both processes accept clients, none where the other one does and
     * this one is shutting down. A process whose state is unknown may accept clients too.
     */
    static double of(ProcessState own, ProcessState peer) {
        return switch (peer) {
            case SERVING -> own == ProcessState.LEAVING ? NONE : HALF;
            case UNKNOWN -> HALF;
            case NONE, STARTING, LEAVING -> FULL;
        };
    }
}
