package tulipshed.quic;

/**
 * When first packets must prove their address: from a number of connections on that have not, until they are few again
 * and a while has passed. Without I/O; times in milliseconds of one clock.
 */
final class RetryPolicy {
    private final int on;
    private final int off;
    private final double stayMs;
    private boolean asking;
    private double sinceMs;
    private long changes;

    /** Off is below on, so that a number that swings by less than their distance changes nothing. */
    RetryPolicy(int on, int off, double stayMs) {
        this.on = on;
        this.off = off;
        this.stayMs = stayMs;
    }

    /** Whether proof is asked for, with so many connections that have given none. */
    boolean asks(int unproven, double nowMs) {
        boolean change = asking ? unproven <= off && nowMs - sinceMs >= stayMs : unproven >= on;
        if (change) {
            asking = !asking;
            sinceMs = nowMs;
            changes++;
        }
        return asking;
    }

    /** How often it has changed. */
    long changes() {
        return changes;
    }
}
