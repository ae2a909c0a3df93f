package tulipshed.emulator.policy;

/**
 * Delayed oracle: sees the true state of every endpoint as it was some time ago, and the connections that the node itself
 * sent there since, which no real node can. Chooses an endpoint with a probability proportional to the capacity that it
 * sees as available, as the best one would be every node's choice, and prefers endpoints that hold the request's affinity
 * group, whose load each further endpoint would have to carry again.
 */
final class DelayedOraclePolicy extends BaselinePolicy {
    private static final double MAX_LOAD_SHARE = 0.9;
    private static final double MAX_STRAIN = 0.7;

    private final double delayMs;
    private final double[] sentRecently;
    private double[] availableLoad = new double[0];

    /** An oracle that sees states with a delay in milliseconds. */
    DelayedOraclePolicy(PolicyHost host, double lateMs) {
        super(host);
        this.delayMs = lateMs;
        sentRecently = new double[host.endpointCount()];
    }

    @Override
    int choose(ClientRequest request, int excluded) {
        double now = host.nowMs();
        if (availableLoad.length < servingCount()) {
            availableLoad = new double[2 * servingCount()];
        }
        double total = 0;
        double holding = 0;
        for (int i = 0; i < servingCount(); i++) {
            GroundTruth state = host.groundTruth(servingEndpoint(i)).at(now - delayMs);
            boolean bears = state.alive()
                    && servingEndpoint(i) != excluded
                    && state.strain() <= MAX_STRAIN
                    && state.backlogMs() <= 0;
            boolean holds = request.demand.group >= 0
                    && host.groundTruth(servingEndpoint(i)).holdsGroup(request.demand.group);
            double more = request.demand.load
                    + (request.demand.group < 0 || holds
                            ? 0
                            : host.scenario().endpointModel().groupLoad());
            double left = MAX_LOAD_SHARE * state.capacity() - state.load() - sentRecently[servingEndpoint(i)] - more;
            availableLoad[i] = bears && left > 0 ? holds ? -left : left : 0;
            total += Math.max(0, availableLoad[i]);
            holding += Math.max(0, -availableLoad[i]);
        }
        // Endpoints that hold the group are negative; where there are any, only those are considered.
        double sign = holding > 0 ? -1 : 1;
        total = holding > 0 ? holding : total;
        double remaining = total * random.nextDouble();
        for (int i = 0; i < servingCount(); i++) {
            remaining -= Math.max(0, sign * availableLoad[i]);
            if (sign * availableLoad[i] > 0 && remaining <= 0) {
                int endpoint = servingEndpoint(i);
                double load = request.demand.load;
                sentRecently[endpoint] += load;
                host.schedule(delayMs, () -> sentRecently[endpoint] -= load);
                return endpoint;
            }
        }
        return -1;
    }
}
