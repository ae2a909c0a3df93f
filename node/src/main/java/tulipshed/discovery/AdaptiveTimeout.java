package tulipshed.discovery;

/**
 * Timeout of a step that follows how long the step takes. It is lengthened when the step completes later than the base
 * timeout, or expires, so that a server that is always slow is heard all the same; it returns to the base timeout once
 * the step completes within it. Confined to the event-loop thread.
 */
final class AdaptiveTimeout {
    /** Ratio of a lengthened timeout to the time that the step took last. */
    private static final double MARGIN = 1.25;

    private final double baseMs;
    private final double afterExpiryMs;
    private final double maxMs;
    private double currentMs;

    /**
     * Creates a timeout that is {@code baseMs} at first, {@code afterExpiryMs} after it has expired once, and {@code
     * maxMs} after it has expired again or if the step takes that long; all in milliseconds, in ascending order.
     */
    AdaptiveTimeout(double baseMs, double afterExpiryMs, double maxMs) {
        this.baseMs = baseMs;
        this.afterExpiryMs = afterExpiryMs;
        this.maxMs = maxMs;
        currentMs = baseMs;
    }

    /** Creates a timeout that is {@code baseMs} at first and {@code maxMs} after it has expired, in milliseconds. */
    AdaptiveTimeout(double baseMs, double maxMs) {
        this(baseMs, maxMs, maxMs);
    }

    /** Current timeout, in milliseconds. */
    double currentMs() {
        return currentMs;
    }

    /** By how much the current timeout is longer than the base timeout, in milliseconds; 0 or more. */
    double extensionMs() {
        return currentMs - baseMs;
    }

    /** Adapts the timeout to a step that completed after {@code elapsedMs} milliseconds. */
    void completed(double elapsedMs) {
        completed(elapsedMs, elapsedMs);
    }

    /**
     * Adapts the timeout to a step that completed after a time that is only known to lie between two bounds, in
     * milliseconds. A timeout that fits some time between them stays unchanged.
     */
    void completed(double atLeastMs, double atMostMs) {
        currentMs = Math.min(required(atMostMs), Math.max(required(atLeastMs), currentMs));
    }

    /** Lengthens the timeout after a step that did not complete within it. */
    void expired() {
        currentMs = currentMs < afterExpiryMs ? afterExpiryMs : maxMs;
    }

    private double required(double elapsedMs) {
        return elapsedMs > baseMs ? Math.min(maxMs, MARGIN * elapsedMs) : baseMs;
    }
}
