package tulipshed.emulator.policy;

/**
 * Sees the true state of every member as it was some time ago, and what it has itself sent there since; no node really
 * can. Chooses in proportion to the room that it sees, as the best would be everybody's best, and first among those that
 * hold the connection's group already: each more would pay for the group again.
 */
final class DelayedOraclePolicy extends BaselinePolicy {
    private static final double MOST = 0.9; // of a member's capacity
    private static final double STRAIN = 0.7; // of what pushes a cold member over

    private final double lateMs;
    private final double[] since;
    private double[] room = new double[0];

    /** One that sees states that many milliseconds late. */
    DelayedOraclePolicy(PolicyHost host, double lateMs) {
        super(host);
        this.lateMs = lateMs;
        since = new double[host.members()];
    }

    @Override
    int choose(ClientRequest t, int not) {
        double now = host.nowMs();
        if (room.length < servingCount()) {
            room = new double[2 * servingCount()];
        }
        double all = 0;
        double holding = 0;
        for (int i = 0; i < servingCount(); i++) {
            PolicyHost.Truth then = host.truth(serving(i)).at(now - lateMs);
            boolean bears = then.alive() && serving(i) != not && then.strain() <= STRAIN && then.backlogMs() <= 0;
            boolean holds = t.wish.group >= 0 && host.truth(serving(i)).holds(t.wish.group);
            double more = t.wish.load
                    + (t.wish.group < 0 || holds ? 0 : host.scenario().members().groupLoad());
            double left = MOST * then.capacity() - then.load() - since[serving(i)] - more;
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
                int m = serving(i);
                double load = t.wish.load;
                since[m] += load;
                host.after(lateMs, () -> since[m] -= load);
                return m;
            }
        }
        return -1;
    }
}
