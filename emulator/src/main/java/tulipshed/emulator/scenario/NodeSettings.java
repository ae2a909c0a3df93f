package tulipshed.emulator.scenario;

/**
 * The load-balancing nodes, over which a front layer spreads the clients.
 *
 * @param count number of nodes
 * @param skew unevenness of the clients' spread: with 0 all nodes get the same share, with 1 the first gets twice the share
 *     of the last
 * @param restartMs time from the end of a node's process to the start of the next, in milliseconds
 * @param shutdownMs time over which a node that shuts down gracefully sends its clients away, in milliseconds
 * @param affinityGroups whether nodes keep clients of one group together
 * @param cancellation whether nodes may cancel an attempt before it is established
 * @param maxAttempts attempts that a request may take
 * @param maxRetryAfterMs longest Retry-After pause in milliseconds; 0 where clients cannot be told one
 * @param connectTimeoutMs time until an attempt whose endpoint is silent fails, in milliseconds
 */
public record NodeSettings(
        int count,
        double skew,
        double restartMs,
        double shutdownMs,
        boolean affinityGroups,
        boolean cancellation,
        int maxAttempts,
        double maxRetryAfterMs,
        double connectTimeoutMs) {}
