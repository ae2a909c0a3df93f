package tulipshed.decision.api;

/**
 * What the site permits.
 *
 * @param maxAttempts attempts for one request, at least 1
 * @param maxRetryAfterUs longest retry-after time, in microseconds
 * @param cancellation whether attempts may be cancelled
 * @param healthChecks whether health checks may be sent
 * @param peerMessages whether messages may be sent to other balancers
 * @param retryAfter whether rejections carry a retry-after time
 * @param connectTimeoutUs how long opening a connection to an endpoint may take, in microseconds
 * @param connectionIdleUs how long an unused connection to an endpoint stays open, in microseconds
 * @param streamsPerConnection concurrent requests on one connection to an endpoint, at least 1
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
