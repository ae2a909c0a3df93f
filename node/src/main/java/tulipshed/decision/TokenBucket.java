package tulipshed.decision;

/** Token bucket for one tenant's new connections in one pool. Confined to the event-loop thread. */
final class TokenBucket {
    private static final double CAPACITY_TOKENS = 2; // admits small bursts

    private double tokens = CAPACITY_TOKENS;
    private long refilledAtUs;

    /** Creates a full bucket. */
    TokenBucket(long nowUs) {
        refilledAtUs = nowUs;
    }

    /** Refills the bucket at this rate, in tokens per second, and takes one token if available. */
    boolean tryTake(long nowUs, double ratePerS) {
        boolean unlimited = ratePerS == Double.POSITIVE_INFINITY;
        tokens = unlimited
                ? CAPACITY_TOKENS
                : Math.min(CAPACITY_TOKENS, tokens + ratePerS * (nowUs - refilledAtUs) / 1e6);
        refilledAtUs = nowUs;
        boolean available = tokens >= 1;
        tokens -= available ? 1 : 0;
        return available;
    }

    /** Time until a token is available at this rate, in microseconds; {@code Long.MAX_VALUE} if the rate is 0. */
    long untilTokenUs(double ratePerS) {
        return ratePerS > 0 ? (long) ((1 - tokens) / ratePerS * 1e6) : Long.MAX_VALUE;
    }
}
