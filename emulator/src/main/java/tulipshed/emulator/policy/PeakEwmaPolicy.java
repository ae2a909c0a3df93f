package tulipshed.emulator.policy;

/**
 * Peak EWMA: of two random endpoints the one with the lower product of its set-up time and its connections of this node,
 * relative to its weight. The set-up time is an exponentially weighted moving average that jumps to every peak.
 *
 * <p>Source: the load balancer {@code p2cPeakEwma} of Twitter Finagle.
 */
final class PeakEwmaPolicy extends BaselinePolicy {
    private static final double DECAY_MS = 10_000;
    private final double[] averageMs;
    private final double[] updatedMs;

    PeakEwmaPolicy(PolicyHost host) {
        super(host);
        averageMs = new double[host.endpointCount()];
        updatedMs = new double[host.endpointCount()];
    }

    @Override
    void setupObserved(int endpoint, double ms) {
        double now = host.nowMs();
        double decay = Math.exp((updatedMs[endpoint] - now) / DECAY_MS);
        averageMs[endpoint] = ms > averageMs[endpoint] ? ms : averageMs[endpoint] * decay + ms * (1 - decay);
        updatedMs[endpoint] = now;
    }

    private double cost(int endpoint) {
        return (averageMs[endpoint] + 1) * (connections[endpoint] + 1) / weight[endpoint];
    }

    @Override
    int choose(ClientRequest request, int excluded) {
        int first = randomEndpoint(excluded);
        int second = randomEndpoint(excluded);
        return first < 0 || cost(second) >= cost(first) ? first : second;
    }
}
