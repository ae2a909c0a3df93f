package tulipshed.decision;

import java.util.SplittableRandom;

/** Which established connections are migrated off an endpoint that they alone keep overloaded. */
record Migration(OutlierEjection outlierEjection, SplittableRandom random) {
    private static final double MIGRATED_SHARE_PER_S = 0.3; // of a late endpoint's connections, over all balancers

    /** Takes a latency; migrates from the second late report in a row, as one may be a pause, and at random. */
    boolean recordLatency(long now, EndpointState endpoint, double latencyMs) {
        boolean wasLate = outlierEjection.isLate(now, endpoint);
        outlierEjection.recordLatency(now, endpoint, latencyMs);
        return wasLate
                && outlierEjection.isLate(now, endpoint)
                && random.nextDouble() < MIGRATED_SHARE_PER_S * endpoint.open;
    }
}
