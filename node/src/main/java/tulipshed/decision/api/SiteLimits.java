package tulipshed.decision.api;

/**
 * Limits imposed by the site.
 *
 * @param maxAttempts maximum attempts of one request, at least 1
 * @param maxRetryAfterUs maximum Retry-After time, in microseconds
 * @param cancellation whether attempts may be cancelled
 * @param healthChecks whether health checks may be sent
 * @param peerMessages whether messages may be sent to other balancers
 * @param retryAfter whether rejections include a Retry-After time
 * @param connectTimeoutUs timeout for opening a connection to an endpoint, in microseconds
 * @param connectionIdleUs idle timeout of a connection to an endpoint, in microseconds
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
