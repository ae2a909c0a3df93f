package tulipshed.transport;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.jboss.logging.Logger;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.HotRestartPeer;

/**
 * What the two processes of one node know of each other while one takes over from the other in a hot restart. Each has a
 * slot of a small file, writes its own slot only, and reads the other's. Confined to the event-loop thread once the node
 * runs.
 *
 * <p>Where the file cannot be used the process serves as if it were alone: it logs that once, keeps in memory what it has to
 * publish, and tries again at a {@link #refresh} now and then. Once the file can be used it joins the other process.
 */
public final class HotRestartState implements HotRestartPeer {
    private static final double FULL_QUOTA = 1;
    private static final double HALF_QUOTA = 0.5;
    private static final double NO_QUOTA = 0;

    /** Refreshes between two attempts to join: 2 s at the interval of a node. */
    private static final int REFRESHES_PER_JOIN = 8;

    /** Failed checks in a row after which the other process counts as gone: 10 s at the interval of a node. */
    private static final int MAX_FAILED_CHECKS = 40;

    /** Refreshes without a failure after which a failure is logged again: a minute at the interval of a node. */
    private static final int REFRESHES_UNTIL_QUIET = 240;

    /** Null where the process shares no file, and so never has a peer. */
    private final HotRestartStorage.Opener opener;

    private final Logger log;
    private final OwnHotRestartSlot own;
    private final ClaimedIds claimedIds;
    private final PublishedConnections publishedConnections;

    /** Both null while no slot of the file is taken. */
    private HotRestartStorage storage;

    private PeerHotRestartSlot peer;

    /** Whether the other process was alive at the last {@link #refresh}. */
    private boolean hasPeer;

    /** What was last read of the other process and could be believed. */
    private int peerOpenConnections;

    private Map<Integer, EstablishedConnection> peerConnections = Map.of();

    private int refreshesUntilJoin = REFRESHES_PER_JOIN;
    private int failedChecks;
    private int refreshesUntilFailureIsLogged;

    /** Whether a failure was logged and not yet its end. */
    private boolean isFailureLogged;

    /** Whether anything has failed in this {@link #refresh}. */
    private boolean hasFailed;

    private boolean closed;

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
        this.log = log.logger("node");
        own = new OwnHotRestartSlot(ids);
        claimedIds = new ClaimedIds(own);
        publishedConnections = new PublishedConnections(own);
        if (opener != null) {
            own.setProcessState(ProcessState.STARTING);
            join(true);
            checkPeer();
        }
    }

    /** Checks whether the other process is alive, and writes or joins again where that has failed. */
    public void refresh() {
        if (opener == null || closed) {
            return;
        }
        refreshesUntilFailureIsLogged--;
        if (own.failure() != null) {
            recordFailure(own.failure());
        }
        hasFailed = false;
        if (storage == null) {
            joinAgain();
        } else {
            writeAgain();
        }
        checkPeer();
        if (own.isWritten() && isFailureLogged && !hasFailed) {
            isFailureLogged = false;
            log.info("hot restart available again");
        }
    }

    /** Takes a slot of the storage and publishes in it what was published before. */
    private void join(boolean mayWait) {
        try {
            storage = opener.open(mayWait);
            peer = new PeerHotRestartSlot(storage, own.capacity());
            own.writeAll(storage);
        } catch (IOException e) {
            recordFailure(e);
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
            // This process serves already, as a third one: it goes on by itself.
            return;
        }
    }

    /** Writes everything where a write has failed, or where somebody has changed what was written. */
    private void writeAgain() {
        try {
            if (!own.isWritten() || !own.isIntact()) {
                own.writeAll(storage);
            }
        } catch (IOException e) {
            recordFailure(e);
        }
    }

    private void recordFailure(IOException failure) {
        hasFailed = true;
        if (refreshesUntilFailureIsLogged <= 0) {
            log.warn("hot restart unavailable, cannot use TMPDIR: " + failure);
            isFailureLogged = true;
        }
        refreshesUntilFailureIsLogged = REFRESHES_UNTIL_QUIET;
    }

    private void checkPeer() {
        if (storage == null) {
            return;
        }
        try {
            hasPeer = storage.isPeerAlive();
            failedChecks = 0;
        } catch (IOException e) {
            // A peer that was there may still be there; for how long that is assumed is bounded.
            failedChecks++;
            hasPeer &= failedChecks < MAX_FAILED_CHECKS;
            recordFailure(e);
        }
        if (!hasPeer) {
            peerOpenConnections = 0;
            peerConnections = Map.of();
        }
    }

    /** Whether another process of this node was alive at the last {@link #refresh}. */
    public boolean hasPeer() {
        return hasPeer;
    }

    /** Whether the other process accepts clients and is not shutting down. */
    public boolean isPeerServing() {
        return peerState() == ProcessState.SERVING;
    }

    /** Publishes that this process accepts clients from now on. */
    public void markServing() {
        own.setProcessState(ProcessState.SERVING);
    }

    /** Publishes that this process is shutting down. */
    public void markLeaving() {
        own.setProcessState(ProcessState.LEAVING);
    }

    /**
     * The share of the node's quotas that this process may use, from 0 to 1: half where both processes accept clients, none
     * where the other one does and this one is shutting down. Where the other one does not say what it does it may accept
     * clients too.
     */
    public double quotaShare() {
        return switch (peerState()) {
            case SERVING -> own.processState() == ProcessState.LEAVING ? NO_QUOTA : HALF_QUOTA;
            case UNKNOWN -> HALF_QUOTA;
            case NONE, STARTING, LEAVING -> FULL_QUOTA;
        };
    }

    /** How far the other process has come: not known where it cannot write its slot, or this one not read it. */
    private ProcessState peerState() {
        if (!hasPeer) {
            return ProcessState.NONE;
        }
        try {
            ProcessState state = peer.processState();
            return state == ProcessState.NONE ? ProcessState.UNKNOWN : state;
        } catch (IOException e) {
            recordFailure(e);
            return ProcessState.UNKNOWN;
        }
    }

    /** Publishes the number of connections open in this process. */
    void publishOpenConnections(int connections) {
        own.setOpenConnections(connections);
    }

    /**
     * Connections open in the other process; 0 where there is none.
     *
     * @param max the most that a process can have open; where the other one says more it is not believed
     */
    int peerOpenConnections(int max) {
        if (!hasPeer) {
            return 0;
        }
        try {
            int connections = peer.openConnections();
            if (connections >= 0 && connections <= max) {
                peerOpenConnections = connections;
            }
        } catch (IOException e) {
            recordFailure(e);
        }
        return peerOpenConnections;
    }

    /** Claims the id of an open request; false where the other process has a request with this id open. */
    public boolean claimId(String id) {
        return claimedIds.claim(id, this::isClaimedByPeer);
    }

    private boolean isClaimedByPeer(long hash) {
        try {
            return hasPeer && peer.containsIdHash(hash);
        } catch (IOException e) {
            recordFailure(e);
            return false;
        }
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
        try {
            if (hasPeer) {
                peerConnections = peer.connections();
            }
        } catch (IOException e) {
            recordFailure(e);
        }
        return peerConnections;
    }

    /** Releases the slot; nothing is published after this. */
    public void close() throws IOException {
        if (storage != null && !closed) {
            closed = true;
            hasPeer = false;
            own.setProcessState(ProcessState.NONE);
            own.detach();
            storage.close();
        }
    }
}
