package tulipshed.transport;

import tulipshed.limits.Limits;

/**
 * Counts the descriptors of open sockets against what the node may use, together with those of the other process of a hot
 * restart. Confined to the event-loop thread.
 */
final class DescriptorBudget {
    /** A client's connection, and the upstream connection of its attempt. */
    private static final int DESCRIPTORS_PER_CLIENT = 2;

    /** An open management connection, and one that is accepted before the oldest is closed for it. */
    private static final int DESCRIPTORS_PER_MANAGEMENT_CONNECTION = 2;

    private final Limits limits;
    private final HotRestartState hotRestartState;
    private int openCount;

    /** A budget of which nothing is used; the count is published in {@code hotRestartState}. */
    DescriptorBudget(Limits limits, HotRestartState hotRestartState) {
        this.limits = limits;
        this.hotRestartState = hotRestartState;
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
        return openCount + usedByPeer() + DESCRIPTORS_PER_CLIENT <= limits.connectionDescriptors();
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
