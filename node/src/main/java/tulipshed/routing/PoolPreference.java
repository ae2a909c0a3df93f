package tulipshed.routing;

import java.util.List;

/** Pools in order of preference; the first that is not skipped is used. */
final class PoolPreference {
    private static final int NO_INDEX = -1;

    private final List<PoolTarget> targets;
    private final boolean[] skipped;
    private int selectedIndex;

    PoolPreference(List<PoolTarget> targets) {
        this.targets = List.copyOf(targets);
        skipped = new boolean[targets.size()];
    }

    /** Returns the pool in use. */
    String pool() {
        return targets.get(selectedIndex).pool();
    }

    /** Whether a pool other than the preferred one is in use. */
    boolean isSpilled() {
        return selectedIndex > 0;
    }

    /**
     * Selects the first pool that is not skipped; if all are skipped, the first with a ready endpoint, otherwise the first.
     *
     * @return whether the selected pool changed
     */
    boolean reevaluate(PoolReadiness readiness) {
        int firstNotSkipped = NO_INDEX;
        int firstReady = NO_INDEX;
        for (int i = 0; i < skipped.length; i++) {
            PoolTarget target = targets.get(i);
            int readyCount = readiness.readyCount(target.pool());
            double readyShare = readiness.readyShare(target.pool());
            double minShare = skipped[i] ? target.restoreAt() : target.spillBelow();
            skipped[i] = readyCount == 0 || readyShare < minShare;
            if (firstNotSkipped == NO_INDEX && !skipped[i]) {
                firstNotSkipped = i;
            }
            if (firstReady == NO_INDEX && readyCount > 0) {
                firstReady = i;
            }
        }
        int previousIndex = selectedIndex;
        selectedIndex = firstNotSkipped != NO_INDEX ? firstNotSkipped : Math.max(firstReady, 0);
        return selectedIndex != previousIndex;
    }
}
