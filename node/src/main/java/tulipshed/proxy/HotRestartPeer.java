package tulipshed.proxy;

import java.util.Map;

/**
 * The other process of this node during a hot restart. Each process publishes its established connections to the other,
 * by slot. Called on the event-loop thread only.
 */
public interface HotRestartPeer {
    /**
     * An established connection.
     *
     * @param endpointId the endpoint that serves it
     * @param group its affinity group, null if there is none
     * @param loadHintUsPerS its expected load in microseconds of work per second, 0 if unknown
     */
    record EstablishedConnection(String endpointId, String group, double loadHintUsPerS) {}

    /** Publishes a connection of this process; returns its slot, or a negative value if there is no space for it. */
    int connectionEstablished(EstablishedConnection connection);

    /** Withdraws the connection published in that slot. */
    void connectionEnded(int slot);

    /** The connections of the other process, by slot. */
    Map<Integer, EstablishedConnection> peerConnections();
}
