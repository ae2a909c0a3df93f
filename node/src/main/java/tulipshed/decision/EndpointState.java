package tulipshed.decision;

import java.util.ArrayList;
import java.util.List;
import tulipshed.decision.api.EndpointInfo;

/**
 * One balancer's state of an endpoint, including the pools it belongs to. Its mutators keep the sums and sets of these
 * pools consistent; this class makes no decisions. Confined to the event-loop thread.
 */
final class EndpointState extends IndexedSet.Item {
    private static final long NEVER_US = Long.MIN_VALUE / 2;

    final String name;
    /** Hash of the name, the same in every process. */
    final long hash;
    /** The pool of all endpoints first, then the named pools. */
    final List<EndpointPool> pools = new ArrayList<>(1);

    /** Null until the endpoint is listed. */
    MachineType machineType;
    /** Relative capacity from the endpoint list, before the speed of the machine type is applied. */
    double size;
    /** The latest entry of the endpoint list; null until the endpoint is listed. */
    EndpointInfo info;
    /** Whether it was removed from the endpoint list; it is retained while connections are open. */
    boolean removed;

    /** Maximum number of pending attempts, at least 1. */
    int pendingLimit;
    /** Attempts started and not yet established. */
    int pending;
    /** Attempts and connections that have not ended. */
    int open;
    /**
     * Sum of the loads of the pending attempts and open connections, in microseconds of work per second. A load that is
     * not reported is the client's hint, else the average of its class, else 1.
     */
    double openLoad;
    /**
     * Whether a connection of this balancer was established since the process started; also true if the process
     * started long ago.
     */
    boolean hasEstablished;

    long ejectedUntilUs;
    int consecutiveEjections;
    int consecutiveFailures;
    long failedAtUs;
    /** Whether the current ejection is due to failures. */
    boolean failing;

    /** Connections that slow start currently permits. */
    double slowStartCredit;

    long slowStartCreditAtUs;

    double reportedLoad;
    long loadReportedAtUs = NEVER_US;
    double latencyMs;
    long latencyReportedAtUs = NEVER_US;

    EndpointState(String name, int pendingLimit, EndpointPool allEndpoints) {
        this.name = name;
        this.pendingLimit = pendingLimit;
        hash = Hashing.of(name);
        pools.add(allEndpoints);
    }

    /** Relative capacity: size times estimated speed. */
    double weight() {
        return size * machineType.speed;
    }

    /** Weight in the latest list entry, which may fall with the load, times estimated speed. */
    double listedWeight() {
        return info.weight() * machineType.speed;
    }

    /** Whether it is on the endpoint list, serving or draining. */
    boolean isListed() {
        return info != null && !removed;
    }

    /** Whether it is listed as serving. */
    boolean isReady() {
        return pools.get(0).ready.has(this);
    }

    /** Time since the process started, in microseconds; {@code Long.MAX_VALUE} if it started long ago. */
    long ageUs(long nowUs) {
        return info.startedUs() == 0 ? Long.MAX_VALUE : nowUs - info.startedUs();
    }

    /**
     * Clears the ejection, the warming mark, the failures, the latency and whether a connection was established, which
     * concern a previous process, and sets the pending limit. The reported load and the open connections remain.
     */
    void resetObservations(int limit) {
        setPendingLimit(limit);
        hasEstablished = info.startedUs() == 0;
        clearEjection();
        clearWarming();
        consecutiveEjections = 0;
        consecutiveFailures = 0;
        latencyReportedAtUs = NEVER_US;
    }

    /** Clears the recorded failures, and ends an ejection due to them. */
    void clearFailures() {
        consecutiveEjections = 0;
        consecutiveFailures = 0;
        if (failing) {
            clearEjection();
        }
    }

    /** Records a reported load, unless it is NaN. */
    void setReportedLoad(long nowUs, double load) {
        if (!Double.isNaN(load)) {
            reportedLoad = load;
            loadReportedAtUs = nowUs;
        }
    }

    /** Sets the machine type and the size, and updates the summed sizes of the ready endpoints. */
    void setCapacity(MachineType newMachineType, double newSize) {
        addReadySize(-1);
        machineType = newMachineType;
        size = newSize;
        addReadySize(1);
    }

    private void addReadySize(int sign) {
        if (isReady()) {
            for (EndpointPool pool : pools) {
                machineType.addReadySize(pool.id, sign * size);
            }
        }
    }

    /** Adds the endpoint to the ready endpoints of its pools, unless it is ready. */
    void markReady() {
        if (!isReady()) {
            for (EndpointPool pool : pools) {
                pool.addReady(this);
            }
        }
    }

    /** Removes the endpoint from the ready endpoints of its pools and ends its ejection. */
    void markUnready() {
        if (isReady()) {
            clearEjection();
            for (EndpointPool pool : pools) {
                pool.removeReady(this);
            }
        }
    }

    /** Whether it is ready and in the balancer's own zone. */
    boolean isInSameZone() {
        return pools.get(0).sameZone.has(this);
    }

    /** Records whether it is in the balancer's own zone. */
    void setSameZone(boolean inSameZone) {
        for (EndpointPool pool : pools) {
            if (inSameZone) {
                pool.sameZone.add(this);
            } else {
                pool.sameZone.remove(this);
            }
        }
    }

    /** Whether it is marked as warming; the mark may outlast slow start. */
    boolean isWarming() {
        return pools.get(0).warming.has(this);
    }

    /** Marks it as warming, without slow-start credit yet. */
    void markWarming(long nowUs) {
        slowStartCredit = 0;
        slowStartCreditAtUs = nowUs;
        for (EndpointPool pool : pools) {
            pool.warming.add(this);
        }
    }

    /** Clears the mark as warming. */
    void clearWarming() {
        for (EndpointPool pool : pools) {
            pool.warming.remove(this);
        }
    }

    /** Ejects the endpoint until this time, or until the end of an earlier ejection if that is later. */
    void markEjected(long untilUs) {
        ejectedUntilUs = Math.max(ejectedUntilUs, untilUs);
        for (EndpointPool pool : pools) {
            pool.ejected.add(this);
            pool.updateObserved(this);
        }
    }

    /** Records that the ejection is due to failures. */
    void markFailing() {
        int added = failing ? 0 : 1;
        failing = true;
        for (EndpointPool pool : pools) {
            pool.failing += added;
        }
    }

    /** Ends the ejection, regardless of its cause. */
    void clearEjection() {
        ejectedUntilUs = 0;
        int removedFailing = failing ? 1 : 0;
        failing = false;
        for (EndpointPool pool : pools) {
            pool.ejected.remove(this);
            pool.failing -= removedFailing;
            pool.updateObserved(this);
        }
    }

    /** Sets the maximum number of pending attempts. */
    void setPendingLimit(int limit) {
        int added = limit - pendingLimit;
        if (isReady()) {
            for (EndpointPool pool : pools) {
                pool.pendingLimits += added;
            }
        }
        pendingLimit = limit;
    }

    /** Adds to the open connections, the pending attempts and the load, and to the sums of the pools. */
    void adjustLoad(int addedOpen, int addedPending, double addedLoad) {
        open += addedOpen;
        pending += addedPending;
        openLoad = open == 0 ? 0 : openLoad + addedLoad;
        boolean ready = isReady();
        for (EndpointPool pool : pools) {
            if (ready) {
                pool.open += addedOpen;
                pool.pending += addedPending;
                pool.load += addedLoad;
            }
            pool.updateObserved(this);
        }
    }
}
