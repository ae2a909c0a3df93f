package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Map;
import tulipshed.proxy.HotRestartPeer;

/**
 * What the two processes of one node know of each other while one takes over from the other in a hot restart. Each has a
 * slot of a small file that both map, writes its own slot only, and reads the other's. Confined to the event-loop thread
 * once the node runs.
 */
public final class HotRestartState implements HotRestartPeer {
    private static final double FULL_QUOTA = 1;
    private static final double HALF_QUOTA = 0.5;
    private static final double NO_QUOTA = 0;

    /** Null where the process shares no file, and so never has a peer. */
    private final HotRestartFile file;

    private final HotRestartSlot own;
    private final HotRestartSlot peer;
    private final ClaimedIds claimedIds;
    private final PublishedConnections publishedConnections;

    /** Whether the other process was alive at the last {@link #refresh}. */
    private boolean hasPeer;

    /** The state of a process that has no peer and publishes nothing. */
    public HotRestartState() {
        this(null, ByteBuffer.allocate(HotRestartSlot.SLOT_COUNT * HotRestartSlot.size(0)), 0, 1, 0);
    }

    /**
     * Joins the process that uses this file, if there is one; the file is created where it is missing.
     *
     * @param ids how many ids of open requests, and how many established connections, a process can publish; the same for
     *     both processes
     * @throws IllegalStateException if two processes use the file already
     */
    public HotRestartState(Path path, int ids) throws IOException {
        this(new HotRestartFile(path, HotRestartSlot.size(ids)), ids);
    }

    private HotRestartState(HotRestartFile file, int ids) {
        this(file, file.bytes(), file.ownSlot(), file.peerSlot(), ids);
        own.setProcessState(ProcessState.STARTING);
        refresh();
    }

    private HotRestartState(HotRestartFile file, ByteBuffer bytes, int ownSlot, int peerSlot, int ids) {
        this.file = file;
        own = new HotRestartSlot(bytes, ownSlot, ids);
        peer = new HotRestartSlot(bytes, peerSlot, ids);
        claimedIds = new ClaimedIds(own, peer);
        publishedConnections = new PublishedConnections(own);
        own.clear();
    }

    /** Checks whether the other process is alive. */
    public void refresh() {
        if (file != null) {
            hasPeer = file.isPeerAlive();
        }
    }

    /** Whether another process of this node was alive at the last {@link #refresh}. */
    public boolean hasPeer() {
        return hasPeer;
    }

    /** Whether the other process accepts clients and is not shutting down. */
    public boolean isPeerServing() {
        return hasPeer && peer.processState() == ProcessState.SERVING;
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
     * where the other one does and this one is shutting down.
     */
    public double quotaShare() {
        if (!isPeerServing()) {
            return FULL_QUOTA;
        }
        return own.processState() == ProcessState.LEAVING ? NO_QUOTA : HALF_QUOTA;
    }

    /** Publishes the number of connections open in this process. */
    void publishOpenConnections(int connections) {
        own.setOpenConnections(connections);
    }

    /** Connections open in the other process; 0 where there is none. */
    int peerOpenConnections() {
        return hasPeer ? peer.openConnections() : 0;
    }

    /** Claims the id of an open request; false where the other process has a request with this id open. */
    public boolean claimId(String id) {
        return claimedIds.claim(id, hasPeer);
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

    /** A connection that is being written at this moment may be read wrongly; the next read corrects it. */
    @Override
    public Map<Integer, EstablishedConnection> peerConnections() {
        return hasPeer ? peer.connections() : Map.of();
    }

    /** Releases the slot; nothing may be published after this. */
    public void close() throws IOException {
        if (file != null) {
            own.setProcessState(ProcessState.NONE);
            file.close();
        }
    }
}
