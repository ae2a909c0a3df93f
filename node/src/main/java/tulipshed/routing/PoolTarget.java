package tulipshed.routing;

/**
 * A pool that a route may use. The two shares form a hysteresis; where both are 0, the pool is skipped only while none of
 * its endpoints is ready.
 *
 * @param pool the name of the pool
 * @param spillBelow the pool is skipped once the share of its endpoints that are ready, from 0 to 1, falls below this
 * @param restoreAt a skipped pool is used again once that share reaches this; not less than {@code spillBelow}
 */
public record PoolTarget(String pool, double spillBelow, double restoreAt) {}
