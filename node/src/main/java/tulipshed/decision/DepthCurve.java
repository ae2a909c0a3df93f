package tulipshed.decision;

/** Refill rate of the token buckets by depth: unlimited while shallow, then falling to zero at depth 1. */
final class DepthCurve {
    private static final int STEPS = 100;
    private static final double UNLIMITED_BELOW_DEPTH = 0.25; // lets bursts pass

    private final double[] ratePerS = new double[STEPS + 1];

    /** Computes the curve; {@code startPerS} is the rate, in connections a second, that a depth of 0 would have. */
    DepthCurve(double startPerS) {
        for (int i = 0; i <= STEPS; i++) {
            double depth = (double) i / STEPS;
            ratePerS[i] = depth < UNLIMITED_BELOW_DEPTH
                    ? Double.POSITIVE_INFINITY
                    : startPerS * (1 - depth) / (1 - UNLIMITED_BELOW_DEPTH);
        }
    }

    /** The rate in connections a second; depths outside 0 to 1 count as the nearer bound. */
    double rateAt(double depth) {
        return ratePerS[(int) Math.round(Math.max(0, Math.min(1, depth)) * STEPS)];
    }
}
