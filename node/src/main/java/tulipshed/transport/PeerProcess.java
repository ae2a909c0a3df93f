package tulipshed.transport;

import java.io.IOException;
import java.util.Map;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * The other process of a hot restart: whether it is alive, and what was last read of its slot. Where the slot cannot be read
 * the failure is recorded and the last known value stands. Confined to the event-loop thread.
 */
final class PeerProcess {
    /** Failed checks in a row after which the process counts as gone: 10 s at the interval of a node. */
    private static final int MAX_FAILED_CHECKS = 40;

    private final HotRestartFailureLog failures;

    /** Both null until {@link #attach}. */
    private HotRestartStorage storage;

    private PeerHotRestartSlot slot;

    /** Whether the process was alive at the last {@link #checkAlive}. */
    private boolean isAlive;

    private int failedChecks;
    private int openConnections;
    private Map<Integer, EstablishedConnection> connections = Map.of();

    /** No process, until a storage is attached; failures to read are recorded in {@code failures}. */
    PeerProcess(HotRestartFailureLog failures) {
        this.failures = failures;
    }

    /** Reads this storage from now on; its slots have entries for {@code capacity} ids and connections. */
    void attach(HotRestartStorage opened, int capacity) {
        storage = opened;
        slot = new PeerHotRestartSlot(opened, capacity);
    }

    /** The process counts as gone; nothing more is read. */
    void detach() {
        isAlive = false;
    }

    /** Checks whether the process is alive; nothing changes while no storage is attached. */
    void checkAlive() {
        if (storage == null) {
            return;
        }
        try {
            isAlive = storage.isPeerAlive();
            failedChecks = 0;
        } catch (IOException e) {
            // A process that was there may still be there; for how long that is assumed is bounded.
            failedChecks++;
            isAlive &= failedChecks < MAX_FAILED_CHECKS;
            failures.record(e);
        }
        if (!isAlive) {
            openConnections = 0;
            connections = Map.of();
        }
    }

    /** Whether the process was alive at the last {@link #checkAlive}. */
    boolean isAlive() {
        return isAlive;
    }

    /**
     * How far the process has come: {@code NONE} where it is not alive, {@code UNKNOWN} where it cannot write its slot or the
     * slot cannot be read.
     */
    ProcessState state() {
        if (!isAlive) {
            return ProcessState.NONE;
        }
        try {
            ProcessState state = slot.processState();
            return state == ProcessState.NONE ? ProcessState.UNKNOWN : state;
        } catch (IOException e) {
            failures.record(e);
            return ProcessState.UNKNOWN;
        }
    }

    /**
     * Connections open in the process; 0 where it is not alive.
     *
     * @param max the most that a process can have open; a number beyond that is ignored
     */
    int openConnections(int max) {
        if (!isAlive) {
            return 0;
        }
        try {
            int count = slot.openConnections();
            if (count >= 0 && count <= max) {
                openConnections = count;
            }
        } catch (IOException e) {
            failures.record(e);
        }
        return openConnections;
    }

    /** Whether the process has claimed an id with this hash; false where that cannot be read. */
    boolean hasClaimed(long idHash) {
        try {
            return isAlive && slot.containsIdHash(idHash);
        } catch (IOException e) {
            failures.record(e);
            return false;
        }
    }

    /** The established connections of the process by record; one that is being written at this moment is left out. */
    Map<Integer, EstablishedConnection> connections() {
        try {
            if (isAlive) {
                connections = slot.connections();
            }
        } catch (IOException e) {
            failures.record(e);
        }
        return connections;
    }
}
