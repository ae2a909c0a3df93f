package tulipshed.routing;

/**
 * A pool that a route may use. The two shares form a hysteresis; if both are 0, the pool is skipped only while none of its
 * endpoints is ready.
 *
 * @param pool the name of the pool
 * @param spillBelow the share of ready endpoints, from 0 to 1, below which the pool is skipped
 * @param restoreAt the share of ready endpoints at which a skipped pool is used again; not less than {@code spillBelow}
 */
public record PoolTarget(String pool, double spillBelow, double restoreAt) {}
