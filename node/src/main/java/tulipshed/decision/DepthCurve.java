package tulipshed.decision;

/**
 * Refill rate of the token buckets as a function of the depth of a pool: unlimited at low depth, then falling linearly
 * to zero at depth 1. The depth, from 0 to 1, is the used share of the pending limits or the ejected share of the
 * observed endpoints, whichever is greater.
 */
final class DepthCurve {
    private static final int STEPS = 100;
    private static final double UNLIMITED_BELOW_DEPTH = 0.25; // admits bursts at low depth

    private final double[] ratePerS = new double[STEPS + 1];

    /** Computes the curve; {@code startRatePerS} is the rate at which it starts to fall, in connections per second. */
    DepthCurve(double startRatePerS) {
        for (int i = 0; i <= STEPS; i++) {
            double depth = (double) i / STEPS;
            ratePerS[i] = depth < UNLIMITED_BELOW_DEPTH
                    ? Double.POSITIVE_INFINITY
                    : startRatePerS * (1 - depth) / (1 - UNLIMITED_BELOW_DEPTH);
        }
    }

    /** The rate in connections per second; the depth is clamped to the range from 0 to 1. */
    double rateAt(double depth) {
        return ratePerS[(int) Math.round(Math.max(0, Math.min(1, depth)) * STEPS)];
    }
}
