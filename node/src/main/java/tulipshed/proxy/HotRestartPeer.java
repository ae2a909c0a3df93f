package tulipshed.proxy;

import java.util.Map;

/** The other process of this node: it is told what stands here, and tells what stands there. */
public interface HotRestartPeer {
    /** A connection that stands at a member; the group may be null. */
    record EstablishedConnection(String endpointId, String group, double loadHintUsPerS) {}

    /** Notes one that stands here; the place where it is noted, below 0 where there is none. */
    int connectionEstablished(EstablishedConnection standing);

    /** What was noted in that place has ended. */
    void connectionEnded(int place);

    /** What stands there, by place. */
    Map<Integer, EstablishedConnection> peerConnections();
}
