package tulipshed.decision;

import java.util.SplittableRandom;

/** Migrates connections off a slow endpoint; as it is ejected, only its established connections keep it overloaded. */
record Migration(OutlierEjection outlierEjection, SplittableRandom random) {
    /**
     * Share of the endpoint's connections migrated per second over all balancers, if each balancer receives one report
     * per second from the endpoint.
     */
    private static final double MIGRATED_SHARE_PER_S = 0.3;

    /**
     * Records a reported latency and returns whether to migrate its connection. From the second consecutive report
     * above the objective on, connections are migrated at random; a single such report may be due to a pause. Reports
     * are consecutive if the first is still current, which assumes one report per second.
     */
    boolean recordLatency(long nowUs, EndpointState endpoint, double latencyMs) {
        boolean exceededBefore = outlierEjection.exceedsLatencyObjective(nowUs, endpoint);
        outlierEjection.recordLatency(nowUs, endpoint, latencyMs);
        return exceededBefore
                && outlierEjection.exceedsLatencyObjective(nowUs, endpoint)
                && random.nextDouble() < MIGRATED_SHARE_PER_S * endpoint.open;
    }
}
