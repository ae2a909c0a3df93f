package tulipshed.routing;

/**
 * A pool that a route may use. It is passed over once the share of its members that are ready falls below {@code below},
 * until it is {@code back} again; without figures, while none is ready.
 */
public record PoolTarget(String pool, double below, double back) {}
