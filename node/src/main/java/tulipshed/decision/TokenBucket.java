package tulipshed.decision;

/** One tenant's allowance of new connections in one pool. Confined to the event-loop thread. */
final class TokenBucket {
    private static final double CAPACITY = 2; // tokens: a few clients that arrive together are no burst

    private double tokens = CAPACITY;
    private long refilledAtUs;

    /** Creates a full bucket. */
    TokenBucket(long now) {
        refilledAtUs = now;
    }

    /** Refills the bucket at this rate, in tokens a second, and takes one token if there is one. */
    boolean tryTake(long now, double ratePerS) {
        boolean unlimited = ratePerS == Double.POSITIVE_INFINITY;
        tokens = unlimited ? CAPACITY : Math.min(CAPACITY, tokens + ratePerS * (now - refilledAtUs) / 1e6);
        refilledAtUs = now;
        boolean available = tokens >= 1;
        tokens -= available ? 1 : 0;
        return available;
    }

    /** Microseconds until there is a token at this rate; {@code Long.MAX_VALUE} if there will be none. */
    long untilTokenUs(double ratePerS) {
        return ratePerS > 0 ? (long) ((1 - tokens) / ratePerS * 1e6) : Long.MAX_VALUE;
    }
}
