package tulipshed.emulator.policy;

/**
 * Clairvoyant oracle: sees the true state of every endpoint and the connections on their way to it from all nodes, and so
 * bounds from above what a node can reach. Rejects what no endpoint can serve and avoids overload during slow start.
 */
final class ClairvoyantPolicy extends BaselinePolicy {
    private static final double MAX_LOAD_SHARE = 0.9;
    private static final double MAX_STRAIN = 0.7;

    ClairvoyantPolicy(PolicyHost host) {
        super(host);
    }

    @Override
    int choose(ClientRequest request, int excluded) {
        int best = -1;
        double lowestShare = MAX_LOAD_SHARE;
        for (int i = 0; i < servingCount(); i++) {
            GroundTruth state = host.groundTruth(servingEndpoint(i));
            if (!state.alive()
                    || servingEndpoint(i) == excluded
                    || state.strain() > MAX_STRAIN
                    || state.backlogMs() > 0) {
                continue;
            }
            double share = (state.load() + state.committedLoad()[0] + request.demand.load) / state.capacity();
            if (share < lowestShare) {
                lowestShare = share;
                best = servingEndpoint(i);
            }
        }
        if (best >= 0) {
            host.groundTruth(best).committedLoad()[0] += request.demand.load;
        }
        return best;
    }
}
