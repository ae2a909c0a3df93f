package tulipshed.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * An affinity group: connections that share work when they are on the same endpoint. Confined to the event-loop thread.
 */
final class ConnectionGroup {
    final long hash;
    final DecayingCounter arrivals;
    /** The endpoint of each established connection of the group, once for each connection. */
    final List<EndpointState> holders = new ArrayList<>();
    /** Preferred endpoints by rank; an entry is null until it is computed. */
    private EndpointState[] preferred;
    /** The version of the pool for which the preferred endpoints were computed. */
    private int preferredVersion = -1;

    /**
     * Creates an empty group.
     *
     * @param name name of the group, which determines its preferred endpoints
     * @param preferredCount initial capacity for preferred endpoints
     * @param arrivalsTimeConstantUs time constant of the arrival count, in microseconds
     */
    ConnectionGroup(String name, int preferredCount, double arrivalsTimeConstantUs) {
        hash = Hashing.of(name);
        arrivals = new DecayingCounter(arrivalsTimeConstantUs);
        preferred = new EndpointState[preferredCount];
    }

    /** The preferred endpoint of this rank for this version of the pool, or null if it is not computed. */
    EndpointState preferred(int rank, int poolVersion) {
        if (preferredVersion != poolVersion) {
            Arrays.fill(preferred, null);
            preferredVersion = poolVersion;
        }
        return rank < preferred.length ? preferred[rank] : null;
    }

    /** Stores the preferred endpoint of this rank. */
    void setPreferred(int rank, EndpointState endpoint) {
        if (rank >= preferred.length) {
            preferred = Arrays.copyOf(preferred, Math.max(rank + 1, 2 * preferred.length));
        }
        preferred[rank] = endpoint;
    }
}
