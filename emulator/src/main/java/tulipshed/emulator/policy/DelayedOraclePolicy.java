package tulipshed.emulator.policy;

/**
 * Sees the true state of every member as it was some time ago, and what it has itself sent there since; no node really
 * can. Chooses in proportion to the room that it sees, as the best would be everybody's best, and first among those that
 * hold the connection's group already: each more would pay for the group again.
 */
final class DelayedOraclePolicy extends BaselinePolicy {
    private static final double MOST = 0.9; // of a member's capacity
    private static final double STRAIN = 0.7; // of what pushes a cold member over

    private final double delayMs;
    private final double[] sentRecently;
    private double[] room = new double[0];

    /** One that sees states that many milliseconds late. */
    DelayedOraclePolicy(PolicyHost host, double lateMs) {
        super(host);
        this.delayMs = lateMs;
        sentRecently = new double[host.endpointCount()];
    }

    @Override
    int choose(ClientRequest request, int excluded) {
        double now = host.nowMs();
        if (room.length < servingCount()) {
            room = new double[2 * servingCount()];
        }
        double all = 0;
        double holding = 0;
        for (int i = 0; i < servingCount(); i++) {
            GroundTruth state = host.groundTruth(serving(i)).at(now - delayMs);
            boolean bears =
                    state.alive() && serving(i) != excluded && state.strain() <= STRAIN && state.backlogMs() <= 0;
            boolean holds =
                    request.demand.group >= 0 && host.groundTruth(serving(i)).holdsGroup(request.demand.group);
            double more = request.demand.load
                    + (request.demand.group < 0 || holds
                            ? 0
                            : host.scenario().endpointModel().groupLoad());
            double left = MOST * state.capacity() - state.load() - sentRecently[serving(i)] - more;
            room[i] = bears && left > 0 ? holds ? -left : left : 0;
            all += Math.max(0, room[i]);
            holding += Math.max(0, -room[i]);
        }
        // Where some hold the group, they are below 0: only those count.
        double sign = holding > 0 ? -1 : 1;
        all = holding > 0 ? holding : all;
        double x = all * random.nextDouble();
        for (int i = 0; i < servingCount(); i++) {
            x -= Math.max(0, sign * room[i]);
            if (sign * room[i] > 0 && x <= 0) {
                int endpoint = serving(i);
                double load = request.demand.load;
                sentRecently[endpoint] += load;
                host.schedule(delayMs, () -> sentRecently[endpoint] -= load);
                return endpoint;
            }
        }
        return -1;
    }
}
