package tulipshed.decision.api;

/**
 * What the site permits; times are in microseconds.
 *
 * @param maxAttempts attempts for one request, at least 1
 * @param maxRetryAfterUs longest retry-after time
 * @param cancellation whether attempts may be cancelled
 * @param retryAfter whether rejections carry a retry-after time
 * @param connectionIdleUs how long an unused connection stays open
 */
public record SiteLimits(
        int maxAttempts,
        long maxRetryAfterUs,
        boolean cancellation,
        boolean healthChecks,
        boolean peerMessages,
        boolean retryAfter,
        long connectTimeoutUs,
        long connectionIdleUs,
        int streamsPerConnection) {}
