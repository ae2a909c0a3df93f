package tulipshed.transport;

import tulipshed.limits.Limits;

/**
 * Compares the number of open sockets with the descriptors that the node may use, including those of the other process
 * during a hot restart, and keeps some descriptors in reserve. If the kernel refuses a descriptor earlier, client
 * capacity is limited to the sockets that were open then, until the reserve is full again. Confined to the event-loop
 * thread.
 */
final class DescriptorBudget {
    /** A client connection and the upstream connection of its attempt. */
    private static final int DESCRIPTORS_PER_CLIENT = 2;

    /** An open management connection, and one accepted before the oldest is closed to make room for it. */
    private static final int DESCRIPTORS_PER_MANAGEMENT_CONNECTION = 2;

    private final Limits limits;
    private final HotRestartState hotRestartState;
    private final DescriptorReserve reserve;
    private int openCount;

    /** Number of sockets open when the kernel refused a descriptor. */
    private int observedLimit = Integer.MAX_VALUE;

    /** Creates a budget without open sockets; the count is published in {@code hotRestartState}. */
    DescriptorBudget(Limits limits, HotRestartState hotRestartState, DescriptorReserve reserve) {
        this.limits = limits;
        this.hotRestartState = hotRestartState;
        this.reserve = reserve;
    }

    /**
     * Releases an emergency descriptor, one of those that the reserve holds open, after the kernel refused another;
     * returns false if none is left.
     */
    boolean releaseReserved() {
        boolean released = reserve.release();
        if (released) {
            observedLimit = Math.min(observedLimit, openCount);
        }
        return released;
    }

    /** Refills the reserve; returns true once it is full, which ends the descriptor shortage. */
    boolean refillReserve() {
        boolean isFull = reserve.refill();
        if (isFull) {
            observedLimit = Integer.MAX_VALUE;
        }
        return isFull;
    }

    /** Counts an opened socket. */
    void opened() {
        adjustOpenCount(1);
    }

    /** Counts a closed socket. */
    void closed() {
        adjustOpenCount(-1);
    }

    /** Number of sockets open in this process. */
    int openCount() {
        return openCount;
    }

    /** Whether there are descriptors for a client connection and its upstream connection. */
    boolean hasCapacityForClient() {
        return openCount + usedByPeer() + DESCRIPTORS_PER_CLIENT <= limits.connectionDescriptors()
                && openCount + DESCRIPTORS_PER_CLIENT <= observedLimit;
    }

    /** Whether there is a descriptor for an upstream connection. */
    boolean hasCapacityForUpstream() {
        return openCount + usedByPeer() < limits.attemptDescriptors();
    }

    private void adjustOpenCount(int delta) {
        openCount += delta;
        hotRestartState.publishOpenConnections(openCount);
    }

    /**
     * Descriptors of the other process: its open sockets, the reserved ones, and its management ones. Reserved
     * descriptors are set aside for the virtual machine, the listeners and discovery; unlike emergency descriptors,
     * nothing holds them open.
     */
    private int usedByPeer() {
        if (!hotRestartState.hasPeer()) {
            return 0;
        }
        return hotRestartState.peerOpenConnections(limits.sockets().descriptors())
                + limits.sockets().reservedDescriptors()
                + DESCRIPTORS_PER_MANAGEMENT_CONNECTION * limits.management().connections();
    }
}
