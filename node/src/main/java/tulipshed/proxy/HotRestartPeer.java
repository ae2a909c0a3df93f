package tulipshed.proxy;

import java.util.Map;

/**
 * The other process of this node while one takes over from the other. Each publishes its established connections, by slot,
 * to the other. Called on the event-loop thread only.
 */
public interface HotRestartPeer {
    /**
     * An established connection.
     *
     * @param endpointId the endpoint that serves it
     * @param group its affinity group, null where there is none
     * @param loadHintUsPerS its expected load in microseconds of work per second, 0 where unknown
     */
    record EstablishedConnection(String endpointId, String group, double loadHintUsPerS) {}

    /** Publishes a connection of this process; returns its slot, below 0 where there was no room. */
    int connectionEstablished(EstablishedConnection connection);

    /** Withdraws the connection that was published in that slot. */
    void connectionEnded(int slot);

    /** The connections of the other process, by slot. */
    Map<Integer, EstablishedConnection> peerConnections();
}
