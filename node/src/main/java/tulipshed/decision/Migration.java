package tulipshed.decision;

import java.util.SplittableRandom;

/** Which established connections are migrated off an endpoint that they alone keep overloaded. */
final class Migration {
    private static final double MIGRATED_SHARE_PER_S = 0.3; // of a late endpoint's connections

    private final OutlierEjection outlierEjection;
    private final SplittableRandom random;

    Migration(OutlierEjection outlierEjection, SplittableRandom random) {
        this.outlierEjection = outlierEjection;
        this.random = random;
    }

    /**
     * Takes a reported latency and returns whether the connection it was reported for is to be migrated: at random, as
     * every balancer has reports, and from the second late report in a row, as one may be a pause.
     */
    boolean recordLatency(long now, EndpointState endpoint, double latencyMs) {
        boolean wasLate = outlierEjection.isLate(now, endpoint);
        outlierEjection.recordLatency(now, endpoint, latencyMs);
        return wasLate
                && outlierEjection.isLate(now, endpoint)
                && random.nextDouble() < MIGRATED_SHARE_PER_S * endpoint.open;
    }
}
