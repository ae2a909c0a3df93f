package tulipshed.decision;

import java.util.SplittableRandom;

/** Which established connections are migrated off an endpoint that they alone keep overloaded. */
record Migration(OutlierEjection outlierEjection, SplittableRandom random) {
    private static final double MIGRATED_SHARE_PER_S = 0.3; // of a late endpoint's connections, over all balancers

    /** Takes a latency; migrates from the second late report in a row, as one may be a pause, and at random. */
    boolean recordLatency(long nowUs, EndpointState endpoint, double latencyMs) {
        boolean wasLate = outlierEjection.isLate(nowUs, endpoint);
        outlierEjection.recordLatency(nowUs, endpoint, latencyMs);
        return wasLate
                && outlierEjection.isLate(nowUs, endpoint)
                && random.nextDouble() < MIGRATED_SHARE_PER_S * endpoint.open;
    }
}
