package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/** The replicas of connections of the other process of a hot restart. */
class ReplicatedConnectionsTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    /** Without the replicas, the new process would distribute clients as if the endpoints had no load from the old process. */
    @Test
    void replicatesConnectionsOfHotRestartPeer() {
        RecordingHotRestartPeer peer = new RecordingHotRestartPeer();
        fixture.core.setHotRestartPeer(peer);
        peer.connections.put(3, new EstablishedConnection("s-1", "desk", 0));
        peer.connections.put(4, new EstablishedConnection("nobody", "desk", 0));
        fixture.core.syncHotRestartPeer();
        fixture.core.syncHotRestartPeer();
        assertEquals(List.of("adopted s-1"), fixture.takeRecorded());
        peer.connections.put(3, new EstablishedConnection("s-1", "gate", 0));
        fixture.core.syncHotRestartPeer();
        assertEquals(
                List.of("ended 0 CANCELLED concluded", "adopted s-1"),
                fixture.takeRecorded(),
                "the slot now has another connection");
        peer.connections.clear();
        fixture.core.syncHotRestartPeer();
        assertEquals(List.of("ended 0 CANCELLED concluded"), fixture.takeRecorded());
        assertEquals(0, fixture.core.establishedCount());
    }
}
