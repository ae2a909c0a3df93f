package tulipshed.routing;

import java.util.List;

/** Pools in order of preference: the first that is not passed over is used. */
final class PoolPreference {
    private final List<PoolTarget> targets;
    private final boolean[] over;
    private int used;

    PoolPreference(List<PoolTarget> targets) {
        this.targets = List.copyOf(targets);
        over = new boolean[targets.size()];
    }

    String pool() {
        return targets.get(used).pool();
    }

    boolean spilled() {
        return used > 0;
    }

    /** Looks at the pools again; whether another is used from now on. */
    boolean look(Readiness readiness) {
        int first = -1;
        int some = -1;
        for (int i = 0; i < over.length; i++) {
            PoolTarget t = targets.get(i);
            int ready = readiness.ready(t.pool());
            double share = readiness.share(t.pool());
            // Between the two bounds it stays as it was: a share that swings there changes nothing.
            over[i] = ready == 0 || (over[i] ? share < t.back() : share < t.below());
            first = first < 0 && !over[i] ? i : first;
            some = some < 0 && ready > 0 ? i : some;
        }
        int before = used;
        used = first >= 0 ? first : Math.max(some, 0);
        return used != before;
    }

    /** What the module knows of the pools. */
    interface Readiness {
        /** Members to which something could be sent now. */
        int ready(String pool);

        /** Their share of the pool's members; 0 for an empty pool. */
        double share(String pool);
    }
}
