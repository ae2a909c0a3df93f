package tulipshed.routing;

import java.util.List;

/** Pools in order of preference; the first that is not skipped is used. */
final class PoolPreference {
    private static final int NONE = -1;

    private final List<PoolTarget> targets;
    private final boolean[] skipped;
    private int usedIndex;

    PoolPreference(List<PoolTarget> targets) {
        this.targets = List.copyOf(targets);
        skipped = new boolean[targets.size()];
    }

    /** Returns the pool in use. */
    String pool() {
        return targets.get(usedIndex).pool();
    }

    /** Whether another pool than the preferred one is in use. */
    boolean isSpilled() {
        return usedIndex > 0;
    }

    /**
     * Chooses the first pool that is not skipped; where all are, the first that has a ready endpoint, and else the first.
     *
     * @return whether another pool is in use from now on
     */
    boolean reevaluate(PoolReadiness readiness) {
        int firstKept = NONE;
        int firstReady = NONE;
        for (int i = 0; i < skipped.length; i++) {
            PoolTarget target = targets.get(i);
            int readyCount = readiness.readyCount(target.pool());
            double readyShare = readiness.readyShare(target.pool());
            double minShare = skipped[i] ? target.restoreAt() : target.spillBelow();
            skipped[i] = readyCount == 0 || readyShare < minShare;
            if (firstKept == NONE && !skipped[i]) {
                firstKept = i;
            }
            if (firstReady == NONE && readyCount > 0) {
                firstReady = i;
            }
        }
        int previousIndex = usedIndex;
        usedIndex = firstKept != NONE ? firstKept : Math.max(firstReady, 0);
        return usedIndex != previousIndex;
    }
}
