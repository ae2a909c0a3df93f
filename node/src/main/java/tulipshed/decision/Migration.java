package tulipshed.decision;

import java.util.SplittableRandom;

/** Migrates connections off a slow endpoint; as it is ejected, only its established connections keep it overloaded. */
record Migration(OutlierEjection outlierEjection, SplittableRandom random) {
    private static final double MIGRATED_SHARE_PER_S = 0.3; // of the endpoint's connections, over all balancers

    /**
     * Records a reported latency and returns whether to migrate its connection. From the second consecutive report
     * above the objective on, connections are migrated at random; a single such report may be due to a pause.
     */
    boolean recordLatency(long nowUs, EndpointState endpoint, double latencyMs) {
        boolean exceededBefore = outlierEjection.exceedsLatencyObjective(nowUs, endpoint);
        outlierEjection.recordLatency(nowUs, endpoint, latencyMs);
        return exceededBefore
                && outlierEjection.exceedsLatencyObjective(nowUs, endpoint)
                && random.nextDouble() < MIGRATED_SHARE_PER_S * endpoint.open;
    }
}
