package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.HotRestartPeer;

class HotRestartStateTest {
    @TempDir
    private Path folder;

    private Path file;
    private HotRestartState first;

    @BeforeEach
    void startFirstProcess() throws IOException {
        file = folder.resolve("share");
        first = new HotRestartState(file, 8);
        first.markServing();
    }

    @Test
    void grantsFullQuotaWithoutPeer() {
        assertFalse(first.hasPeer());
        assertEquals(1, first.quotaShare());
        assertTrue(first.claimId("a"));
    }

    @Test
    void splitsQuotaOnlyWhileBothProcessesServe() throws IOException {
        HotRestartState next = new HotRestartState(file, 8);
        first.refresh();
        assertTrue(first.hasPeer() && next.isPeerServing());
        assertEquals(1, first.quotaShare(), "the other does not take clients yet");
        next.markServing();
        assertEquals(0.5, first.quotaShare());
        assertEquals(0.5, next.quotaShare());
        first.markLeaving();
        assertEquals(0, first.quotaShare());
        assertEquals(1, next.quotaShare());
        first.close();
        next.refresh();
        assertFalse(next.hasPeer());
        assertThrows(
                IllegalStateException.class,
                () -> {
                    new HotRestartState(file, 8);
                    new HotRestartState(file, 8);
                },
                "a third process");
    }

    @Test
    void rejectsIdClaimedByPeer() throws IOException {
        assertTrue(first.claimId("a"));
        HotRestartState next = new HotRestartState(file, 8);
        first.refresh();
        assertFalse(next.claimId("a"));
        assertTrue(next.claimId("b"));
        assertFalse(first.claimId("b"));
        first.releaseId("a");
        assertTrue(next.claimId("a"));
        for (int i = 0; i < 100; i++) {
            assertTrue(first.claimId("x" + i), "what finds no place is not shared");
            first.releaseId("x" + i);
        }
    }

    /** What a dead process left in the file must not bind the next one. */
    @Test
    void ignoresStateOfEndedProcess() throws IOException {
        first.claimId("a");
        first.publishOpenConnections(7);
        first.close();
        HotRestartState next = new HotRestartState(file, 8);
        assertFalse(next.hasPeer() || next.isPeerServing());
        assertTrue(next.claimId("a"));
        assertEquals(0, next.peerOpenConnections());
    }

    @Test
    void replicatesEstablishedConnectionsUntilTheyEnd() throws IOException {
        HotRestartPeer.EstablishedConnection one = new HotRestartPeer.EstablishedConnection("s-1", "desk", 0.5);
        HotRestartPeer.EstablishedConnection two = new HotRestartPeer.EstablishedConnection("s-2", null, 0);
        int place = first.connectionEstablished(one);
        int second = first.connectionEstablished(two);
        HotRestartState next = new HotRestartState(file, 8);
        assertEquals(Map.of(place, one, second, two), next.peerConnections());
        assertEquals(Map.of(), first.peerConnections(), "and not to itself");
        first.connectionEnded(place);
        assertEquals(Map.of(second, two), next.peerConnections());
        assertEquals(place, first.connectionEstablished(two), "its place is free again");
        assertEquals(
                -1,
                first.connectionEstablished(new HotRestartPeer.EstablishedConnection("s".repeat(40), null, 0)),
                "what has no room is not told");
        for (int i = 0; i < 6; i++) {
            assertTrue(first.connectionEstablished(one) >= 0);
        }
        assertEquals(-1, first.connectionEstablished(one));
        first.close();
        next.refresh();
        assertEquals(Map.of(), next.peerConnections(), "all ends with its process");
    }

    @Test
    void countsDescriptorsOfBothProcesses() throws IOException {
        Limits limits = Limits.forDescriptors(400);
        HotRestartState next = new HotRestartState(file, 8);
        XnioEventLoop loop = new XnioEventLoop(limits, next, NodeLog.silent());
        first.publishOpenConnections(limits.connectionDescriptors() - 64 - 32 - 2);
        assertTrue(loop.hasCapacityForClient());
        first.publishOpenConnections(limits.connectionDescriptors() - 64 - 32 - 1);
        assertFalse(loop.hasCapacityForClient());
        first.close();
        next.refresh();
        assertTrue(loop.hasCapacityForClient());
        loop.stop();
    }
}
