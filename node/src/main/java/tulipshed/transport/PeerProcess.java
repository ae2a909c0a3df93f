package tulipshed.transport;

import java.io.IOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * The other process of a hot restart: whether it is alive, and the values last read from its slot. If the slot cannot
 * be read, the failure is recorded and the last known value is used. Confined to the event-loop thread.
 */
final class PeerProcess {
    /**
     * Number of consecutive failed checks after which the process counts as ended: 10 s at the refresh interval of a
     * node.
     */
    private static final int MAX_FAILED_CHECKS = 40;

    /** Number of checks for which the IDs of an ended process stay claimed: 1 min at the refresh interval of a node. */
    private static final int CHECKS_OF_INHERITED_IDS = 240;

    private final HotRestartFailureLog failures;

    /** Null until {@link #attach}, as is {@link #slot}. */
    private HotRestartStorage storage;

    private PeerHotRestartSlot slot;

    /** Whether the process was alive at the last {@link #checkAlive}. */
    private boolean isAlive;

    /** Hashes of the IDs that the process had claimed when it ended. */
    private final Set<Long> inheritedIdHashes = new HashSet<>();

    private int checksUntilRelease;
    private int failedChecks;
    private int openConnections;
    private Map<Integer, EstablishedConnection> connections = Map.of();

    /** Creates an absent peer until a storage is attached; read failures are recorded in {@code failures}. */
    PeerProcess(HotRestartFailureLog failures) {
        this.failures = failures;
    }

    /**
     * Starts reading from this storage, whose slots have {@code capacity} entries for IDs and as many for connections.
     */
    void attach(HotRestartStorage opened, int capacity) {
        storage = opened;
        slot = new PeerHotRestartSlot(opened, capacity);
    }

    /** Marks the process as ended and stops reading. */
    void detach() {
        isAlive = false;
    }

    /** Checks whether the process is alive; does nothing until a storage is attached. */
    void checkAlive() {
        if (storage == null) {
            return;
        }
        releaseInheritedIds();
        boolean wasAlive = isAlive;
        try {
            isAlive = storage.isPeerAlive();
            failedChecks = 0;
            if (wasAlive && !isAlive) {
                inheritIds();
            }
        } catch (IOException e) {
            // A process that was alive may still be; this is assumed for a limited time only.
            failedChecks++;
            isAlive &= failedChecks < MAX_FAILED_CHECKS;
            failures.record(e);
        }
        if (!isAlive) {
            openConnections = 0;
            connections = Map.of();
        }
    }

    /** Its requests may have executed, and this process must not execute those again that are not idempotent. */
    private void inheritIds() throws IOException {
        inheritedIdHashes.addAll(slot.idHashes());
        checksUntilRelease = CHECKS_OF_INHERITED_IDS;
    }

    private void releaseInheritedIds() {
        checksUntilRelease--;
        if (checksUntilRelease <= 0) {
            inheritedIdHashes.clear();
        }
    }

    /** Whether the process was alive at the last {@link #checkAlive}. */
    boolean isAlive() {
        return isAlive;
    }

    /**
     * Lifecycle state of the process: {@code NONE} if it is not alive, {@code UNKNOWN} if it cannot write its slot or
     * the slot cannot be read.
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
     * Number of connections, UDP sockets and connection attempts open in the process; 0 if it is not alive.
     *
     * @param max the maximum number that a process can have open; if the slot has a negative or larger number, the last
     * valid one is returned
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

    /**
     * Whether the process has claimed an ID with this hash, or had claimed it when it ended; false if the slot cannot be
     * read.
     */
    boolean hasClaimed(long idHash) {
        if (inheritedIdHashes.contains(idHash)) {
            return true;
        }
        try {
            return isAlive && slot.containsIdHash(idHash);
        } catch (IOException e) {
            failures.record(e);
            return false;
        }
    }

    /** Established connections of the process by record number; omits a record that is being written. */
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
