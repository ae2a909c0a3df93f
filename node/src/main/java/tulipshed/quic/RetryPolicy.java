package tulipshed.quic;

/**
 * Decides when clients must validate their addresses with a Retry (RFC 9000 section 8.1.2): from a number of connections with
 * unvalidated addresses on, until there are few again and a minimum time has passed. Without I/O; times in milliseconds.
 */
final class RetryPolicy {
    private final int startThreshold;
    private final int stopThreshold;
    private final double minDurationMs;
    private boolean isRetryRequired;
    private double changedMs;
    private long changes;

    /** The stop threshold is below the start threshold, so that a number between them changes nothing (hysteresis). */
    RetryPolicy(int startThreshold, int stopThreshold, double minDurationMs) {
        this.startThreshold = startThreshold;
        this.stopThreshold = stopThreshold;
        this.minDurationMs = minDurationMs;
    }

    /** Whether a Retry is required, with this many connections with unvalidated addresses. */
    boolean isRetryRequired(int unvalidatedAddresses, double nowMs) {
        boolean isChange = isRetryRequired
                ? unvalidatedAddresses <= stopThreshold && nowMs - changedMs >= minDurationMs
                : unvalidatedAddresses >= startThreshold;
        if (isChange) {
            isRetryRequired = !isRetryRequired;
            changedMs = nowMs;
            changes++;
        }
        return isRetryRequired;
    }

    /** How often the requirement has changed; for tests. */
    long changes() {
        return changes;
    }
}
