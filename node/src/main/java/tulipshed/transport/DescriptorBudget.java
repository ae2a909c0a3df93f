package tulipshed.transport;

import tulipshed.limits.Limits;

/**
 * Counts the descriptors of open sockets against what the node may use, together with those of the other process of a hot
 * restart, and holds some in reserve. Where the kernel refuses descriptors earlier, clients have no more capacity than what
 * was open then, until the reserve is whole again. Confined to the event-loop thread.
 */
final class DescriptorBudget {
    /** A client's connection, and the upstream connection of its attempt. */
    private static final int DESCRIPTORS_PER_CLIENT = 2;

    /** An open management connection, and one that is accepted before the oldest is closed for it. */
    private static final int DESCRIPTORS_PER_MANAGEMENT_CONNECTION = 2;

    private final Limits limits;
    private final HotRestartState hotRestartState;
    private final DescriptorReserve reserve;
    private int openCount;

    /** The sockets that were open when the kernel refused a descriptor. */
    private int observedLimit = Integer.MAX_VALUE;

    /** A budget of which nothing is used; the count is published in {@code hotRestartState}. */
    DescriptorBudget(Limits limits, HotRestartState hotRestartState, DescriptorReserve reserve) {
        this.limits = limits;
        this.hotRestartState = hotRestartState;
        this.reserve = reserve;
    }

    /** Gives up a reserved descriptor, as the kernel refuses others; false where there is none. */
    boolean releaseReserved() {
        boolean released = reserve.release();
        if (released) {
            observedLimit = Math.min(observedLimit, openCount);
        }
        return released;
    }

    /** Takes back what was given up of the reserve; true once all is back, and descriptors are not short any more. */
    boolean refillReserve() {
        boolean whole = reserve.refill();
        if (whole) {
            observedLimit = Integer.MAX_VALUE;
        }
        return whole;
    }

    /** A socket was opened. */
    void opened() {
        add(1);
    }

    /** A socket was closed. */
    void closed() {
        add(-1);
    }

    /** Sockets open in this process. */
    int openCount() {
        return openCount;
    }

    /** Whether there are descriptors for a client's connection and its upstream connection. */
    boolean hasCapacityForClient() {
        return openCount + usedByPeer() + DESCRIPTORS_PER_CLIENT <= limits.connectionDescriptors()
                && openCount + DESCRIPTORS_PER_CLIENT <= observedLimit;
    }

    /** Whether there is a descriptor for an upstream connection. */
    boolean hasCapacityForUpstream() {
        return openCount + usedByPeer() < limits.attemptDescriptors();
    }

    private void add(int change) {
        openCount += change;
        hotRestartState.publishOpenConnections(openCount);
    }

    /** Descriptors of the other process: its connections, and what a process needs besides. */
    private int usedByPeer() {
        if (!hotRestartState.hasPeer()) {
            return 0;
        }
        return hotRestartState.peerOpenConnections(limits.sockets().descriptors())
                + limits.sockets().reservedDescriptors()
                + DESCRIPTORS_PER_MANAGEMENT_CONNECTION * limits.management().connections();
    }
}
