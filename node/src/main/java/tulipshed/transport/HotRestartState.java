package tulipshed.transport;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.HotRestartPeer;

/**
 * State shared by the two processes of one node while one takes over from the other in a hot restart. Each process has
 * a slot in a small file, writes only its own slot and reads the other's. Confined to the event-loop thread once the
 * node runs.
 *
 * <p>If the file cannot be used, the process serves as if it were alone: it logs this once, keeps the state that it has
 * to publish in memory, and tries again at later calls of {@link #refresh}. Once the file can be used, it joins the
 * other process.
 */
public final class HotRestartState implements HotRestartPeer {
    /** Number of refreshes between two attempts to join: 2 s at the refresh interval of a node. */
    private static final int REFRESHES_PER_JOIN = 8;

    /** Null if the process shares no file and so never has a peer. */
    private final HotRestartStorage.Opener opener;

    private final HotRestartFailureLog failures;
    private final OwnHotRestartSlot own;
    private final ClaimedIds claimedIds;
    private final PublishedConnections publishedConnections;
    private final PeerProcess peer;

    /** Null while this process holds no slot of the file, as are {@link #ownList} and {@link #peerList}. */
    private HotRestartStorage storage;

    private OwnEndpointList ownList;
    private PeerEndpointList peerList;

    private int refreshesUntilJoin = REFRESHES_PER_JOIN;
    private boolean isClosed;

    /** Creates the state of a process that has no peer and publishes nothing. */
    public HotRestartState() {
        this((HotRestartStorage.Opener) null, 0, NodeLog.silent());
    }

    /**
     * Joins the process that uses this file, if there is one, without logging; see {@link #HotRestartState(Path, int,
     * NodeLog)}.
     */
    public HotRestartState(Path path, int capacity) {
        this(path, capacity, NodeLog.silent());
    }

    /**
     * Joins the process that uses this file, if there is one; creates the file if it does not exist.
     *
     * @param capacity the number of IDs of open requests, and of established connections, that a process can publish;
     *     the same for both processes
     * @throws IllegalStateException if two processes already use the file
     */
    public HotRestartState(Path path, int capacity, NodeLog log) {
        this(mayWait -> HotRestartFile.open(path, HotRestartLayout.slotBytes(capacity), mayWait), capacity, log);
    }

    /**
     * Joins the process that uses the storage, if there is one; {@code opener} is null if the process shares no
     * storage.
     */
    HotRestartState(HotRestartStorage.Opener opener, int capacity, NodeLog log) {
        this.opener = opener;
        failures = new HotRestartFailureLog(log.logger("node"));
        own = new OwnHotRestartSlot(capacity);
        claimedIds = new ClaimedIds(own);
        publishedConnections = new PublishedConnections(own);
        peer = new PeerProcess(failures);
        if (opener != null) {
            own.setProcessState(ProcessState.STARTING);
            join(true);
            peer.checkAlive();
        }
    }

    /** Checks whether the other process is alive, and retries a failed write or a failed attempt to join. */
    public void refresh() {
        if (opener == null || isClosed) {
            return;
        }
        failures.countRefresh();
        if (own.failure() != null) {
            failures.record(own.failure());
        }
        failures.startAttempt();
        if (storage == null) {
            joinAgain();
        } else {
            writeAgain();
        }
        peer.checkAlive();
        if (own.isWritten()) {
            failures.recordSuccess();
        }
    }

    /** Takes a slot of the storage and writes the published state to it. */
    private void join(boolean mayWait) {
        try {
            storage = opener.open(mayWait);
            ownList = new OwnEndpointList(storage);
            peerList = new PeerEndpointList(storage);
            peer.attach(storage, own.capacity());
            own.writeAll(storage);
        } catch (IOException e) {
            failures.record(e);
        }
    }

    private void joinAgain() {
        refreshesUntilJoin--;
        if (refreshesUntilJoin > 0) {
            return;
        }
        refreshesUntilJoin = REFRESHES_PER_JOIN;
        try {
            join(false);
        } catch (IllegalStateException bothSlotsTaken) {
            // Two other processes hold the slots; this one continues to serve without one.
            return;
        }
    }

    /** Writes the entire slot if a write has failed or if its content was changed by another program. */
    private void writeAgain() {
        try {
            if (!own.isWritten() || !own.isIntact()) {
                own.writeAll(storage);
            }
        } catch (IOException e) {
            failures.record(e);
        }
    }

    /** Whether the other process of this node was alive at the last {@link #refresh}. */
    public boolean hasPeer() {
        return peer.isAlive();
    }

    /** Whether the other process accepts clients and is not shutting down. */
    public boolean isPeerServing() {
        return peer.state() == ProcessState.SERVING;
    }

    /** Publishes that this process accepts clients. */
    public void markServing() {
        own.setProcessState(ProcessState.SERVING);
    }

    /** Publishes that this process is shutting down. */
    public void markLeaving() {
        own.setProcessState(ProcessState.LEAVING);
    }

    /** Share of the node's quotas that this process may use, from 0 to 1, by the states of both processes. */
    public double quotaShare() {
        return QuotaShare.of(own.processState(), peer.state());
    }

    /** Publishes the number of connections, UDP sockets and connection attempts open in this process. */
    void publishOpenConnections(int connections) {
        own.setOpenConnections(connections);
    }

    /**
     * Number of connections, UDP sockets and connection attempts open in the other process; 0 if there is none.
     *
     * @param max the maximum number that a process can have open; if the slot has a negative or larger number, the last
     * valid one is returned
     */
    int peerOpenConnections(int max) {
        return peer.openConnections(max);
    }

    /** Claims the ID of an open request; returns false if the other process has an open request with this ID. */
    public boolean claimId(String id) {
        return claimedIds.claim(id, peer::hasClaimed);
    }

    /** Releases the ID of a request that has ended. */
    public void releaseId(String id) {
        claimedIds.release(id);
    }

    /**
     * Publishes the endpoint list of this process to the other one, in place of an earlier one.
     *
     * @param document the list in a format that both processes know
     * @return whether the list was published; false if that failed and may be repeated
     */
    public boolean publishEndpointList(byte[] document) {
        if (storage == null || isClosed) {
            return false;
        }
        try {
            return ownList.write(document);
        } catch (IOException e) {
            failures.record(e);
            return false;
        }
    }

    /** Withdraws the published endpoint list. */
    public void withdrawEndpointList() {
        if (storage == null || isClosed) {
            return;
        }
        try {
            storage.discardOwnList();
        } catch (IOException e) {
            failures.record(e);
        }
    }

    /**
     * Returns the endpoint list that the other process publishes, as passed to {@link #publishEndpointList}; empty if
     * there is none or if this method has returned it before.
     */
    public Optional<byte[]> changedPeerEndpointList() {
        if (storage == null || isClosed) {
            return Optional.empty();
        }
        try {
            return peerList.readIfChanged();
        } catch (IOException e) {
            failures.record(e);
            return Optional.empty();
        }
    }

    @Override
    public int connectionEstablished(EstablishedConnection connection) {
        return publishedConnections.publish(connection);
    }

    @Override
    public void connectionEnded(int record) {
        publishedConnections.withdraw(record);
    }

    /** Omits a connection whose record is being written; a read after the write returns it. */
    @Override
    public Map<Integer, EstablishedConnection> peerConnections() {
        return peer.connections();
    }

    /**
     * Releases the slot; nothing is published afterwards. Does nothing without a slot, so that a later {@link #refresh}
     * may still join.
     */
    public void close() throws IOException {
        if (storage != null && !isClosed) {
            isClosed = true;
            peer.detach();
            own.setProcessState(ProcessState.NONE);
            own.detach();
            storage.close();
        }
    }
}
