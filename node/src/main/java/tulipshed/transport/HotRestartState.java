package tulipshed.transport;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.HotRestartPeer;

/**
 * The state that the two processes of one node share while one takes over from the other in a hot restart. Each has a slot of
 * a small file, writes its own slot only, and reads the other's. Confined to the event-loop thread once the node runs.
 *
 * <p>Where the file cannot be used the process serves as if it were alone: it logs that once, keeps in memory what it has to
 * publish, and tries again at later calls of {@link #refresh}. Once the file can be used it joins the other process.
 */
public final class HotRestartState implements HotRestartPeer {
    /** Refreshes between two attempts to join: 2 s at the interval of a node. */
    private static final int REFRESHES_PER_JOIN = 8;

    /** Null where the process shares no file, and so never has a peer. */
    private final HotRestartStorage.Opener opener;

    private final HotRestartFailureLog failures;
    private final OwnHotRestartSlot own;
    private final ClaimedIds claimedIds;
    private final PublishedConnections publishedConnections;
    private final PeerProcess peer;

    /** Null while no slot of the file is taken. */
    private HotRestartStorage storage;

    private int refreshesUntilJoin = REFRESHES_PER_JOIN;
    private boolean isClosed;

    /** The state of a process that has no peer and publishes nothing. */
    public HotRestartState() {
        this((HotRestartStorage.Opener) null, 0, NodeLog.silent());
    }

    /** Joins the process that uses this file, and logs nothing. */
    public HotRestartState(Path path, int ids) {
        this(path, ids, NodeLog.silent());
    }

    /**
     * Joins the process that uses this file, if there is one; the file is created where it is missing.
     *
     * @param ids how many ids of open requests, and how many established connections, a process can publish; the same for
     *     both processes
     * @throws IllegalStateException if two processes use the file already
     */
    public HotRestartState(Path path, int ids, NodeLog log) {
        this(mayWait -> HotRestartFile.open(path, HotRestartLayout.slotBytes(ids), mayWait), ids, log);
    }

    /** Joins the process that uses this storage, if there is one; null where there is none to use. */
    HotRestartState(HotRestartStorage.Opener opener, int ids, NodeLog log) {
        this.opener = opener;
        failures = new HotRestartFailureLog(log.logger("node"));
        own = new OwnHotRestartSlot(ids);
        claimedIds = new ClaimedIds(own);
        publishedConnections = new PublishedConnections(own);
        peer = new PeerProcess(failures);
        if (opener != null) {
            own.setProcessState(ProcessState.STARTING);
            join(true);
            peer.checkAlive();
        }
    }

    /** Checks whether the other process is alive, and writes or joins again where that has failed. */
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

    /** Takes a slot of the storage and publishes in it what was published before. */
    private void join(boolean mayWait) {
        try {
            storage = opener.open(mayWait);
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
            // This process serves already, as a third one: it goes on without a slot.
            return;
        }
    }

    /** Writes everything where a write has failed, or where the content of the slot was changed from outside. */
    private void writeAgain() {
        try {
            if (!own.isWritten() || !own.isIntact()) {
                own.writeAll(storage);
            }
        } catch (IOException e) {
            failures.record(e);
        }
    }

    /** Whether another process of this node was alive at the last {@link #refresh}. */
    public boolean hasPeer() {
        return peer.isAlive();
    }

    /** Whether the other process accepts clients and is not shutting down. */
    public boolean isPeerServing() {
        return peer.state() == ProcessState.SERVING;
    }

    /** Publishes that this process accepts clients from now on. */
    public void markServing() {
        own.setProcessState(ProcessState.SERVING);
    }

    /** Publishes that this process is shutting down. */
    public void markLeaving() {
        own.setProcessState(ProcessState.LEAVING);
    }

    /** The share of the node's quotas that this process may use, from 0 to 1, by the state of both processes. */
    public double quotaShare() {
        return QuotaShare.of(own.processState(), peer.state());
    }

    /** Publishes the number of connections open in this process. */
    void publishOpenConnections(int connections) {
        own.setOpenConnections(connections);
    }

    /**
     * Connections open in the other process; 0 where there is none.
     *
     * @param max the most that a process can have open; a number beyond that is ignored
     */
    int peerOpenConnections(int max) {
        return peer.openConnections(max);
    }

    /** Claims the id of an open request; false where the other process has a request with this id open. */
    public boolean claimId(String id) {
        return claimedIds.claim(id, peer::hasClaimed);
    }

    /** Releases the id of a request that has ended. */
    public void releaseId(String id) {
        claimedIds.release(id);
    }

    @Override
    public int connectionEstablished(EstablishedConnection connection) {
        return publishedConnections.publish(connection);
    }

    @Override
    public void connectionEnded(int record) {
        publishedConnections.withdraw(record);
    }

    /** A connection that is being written at this moment is left out; the next read has it. */
    @Override
    public Map<Integer, EstablishedConnection> peerConnections() {
        return peer.connections();
    }

    /** Releases the slot; nothing is published after this. */
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
