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

/** Tests of the state shared by two processes of one node, with both ends in one process. */
class HotRestartStateTest {
    @TempDir
    private Path directory;

    private Path file;
    private HotRestartState first;

    @BeforeEach
    void startFirstProcess() throws IOException {
        file = directory.resolve("share");
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
        HotRestartState second = new HotRestartState(file, 8);
        first.refresh();
        assertTrue(first.hasPeer() && second.isPeerServing());
        assertEquals(1, first.quotaShare(), "the other process does not accept clients yet");
        second.markServing();
        assertEquals(0.5, first.quotaShare());
        assertEquals(0.5, second.quotaShare());
        first.markLeaving();
        assertEquals(0, first.quotaShare());
        assertEquals(1, second.quotaShare());
        first.close();
        second.refresh();
        assertFalse(second.hasPeer());
    }

    /**
     * A third process is rejected while both slots are taken, and takes the slot of the first one once that has ended.
     */
    @Test
    void rejectsThirdProcess() throws IOException {
        HotRestartState second = new HotRestartState(file, 8);
        assertThrows(IllegalStateException.class, () -> new HotRestartState(file, 8));
        first.close();
        HotRestartState successor = new HotRestartState(file, 8);
        assertThrows(IllegalStateException.class, () -> new HotRestartState(file, 8));
        successor.close();
        second.close();
    }

    @Test
    void rejectsIdClaimedByPeer() throws IOException {
        assertTrue(first.claimId("a"));
        HotRestartState second = new HotRestartState(file, 8);
        first.refresh();
        assertFalse(second.claimId("a"));
        assertTrue(second.claimId("b"));
        assertFalse(first.claimId("b"));
        first.releaseId("a");
        assertTrue(second.claimId("a"));
        for (int i = 0; i < 100; i++) {
            assertTrue(first.claimId("x" + i), "an ID without a free entry is not published");
            first.releaseId("x" + i);
        }
    }

    /** Guards against a request of the old process that its client repeats at the new one and that is executed twice. */
    @Test
    void rejectsIdClaimedByPeerThatHasEndedForLimitedTime() throws IOException {
        HotRestartState second = new HotRestartState(file, 8);
        second.refresh();
        first.claimId("a");
        first.close();
        assertFalse(second.claimId("a"), "before the end of the peer is noticed");
        second.refresh();
        assertFalse(second.hasPeer());
        assertFalse(second.claimId("a"), "after it");
        assertTrue(second.claimId("b"));
        int refreshesInAMinute = 240;
        for (int i = 0; i < refreshesInAMinute; i++) {
            second.refresh();
        }
        assertTrue(second.claimId("a"));
        second.close();
    }

    /** State left in the file by a process that has ended must not affect the next one. */
    @Test
    void ignoresStateOfEndedProcess() throws IOException {
        first.claimId("a");
        first.publishOpenConnections(7);
        first.close();
        HotRestartState second = new HotRestartState(file, 8);
        assertFalse(second.hasPeer() || second.isPeerServing());
        assertTrue(second.claimId("a"));
        assertEquals(0, second.peerOpenConnections(1024));
    }

    @Test
    void replicatesEstablishedConnectionsUntilTheyEnd() throws IOException {
        HotRestartPeer.EstablishedConnection grouped = new HotRestartPeer.EstablishedConnection("s-1", "desk", 0.5);
        HotRestartPeer.EstablishedConnection ungrouped = new HotRestartPeer.EstablishedConnection("s-2", null, 0);
        int groupedRecord = first.connectionEstablished(grouped);
        int ungroupedRecord = first.connectionEstablished(ungrouped);
        HotRestartState second = new HotRestartState(file, 8);
        assertEquals(Map.of(groupedRecord, grouped, ungroupedRecord, ungrouped), second.peerConnections());
        assertEquals(Map.of(), first.peerConnections(), "not its own connections");
        first.connectionEnded(groupedRecord);
        assertEquals(Map.of(ungroupedRecord, ungrouped), second.peerConnections());
        assertEquals(groupedRecord, first.connectionEstablished(ungrouped), "its record is free again");
        assertEquals(
                -1,
                first.connectionEstablished(new HotRestartPeer.EstablishedConnection("s".repeat(40), null, 0)),
                "a text that is too long is not published");
        for (int i = 0; i < 6; i++) {
            assertTrue(first.connectionEstablished(grouped) >= 0);
        }
        assertEquals(-1, first.connectionEstablished(grouped));
        first.close();
        second.refresh();
        assertEquals(Map.of(), second.peerConnections(), "all connections end with their process");
    }

    @Test
    void countsDescriptorsOfBothProcesses() throws IOException {
        Limits limits = Limits.forDescriptors(400);
        HotRestartState second = new HotRestartState(file, 8);
        XnioEventLoop loop = new XnioEventLoop(limits, second, NodeLog.silent());
        first.publishOpenConnections(limits.connectionDescriptors() - 64 - 32 - 2);
        assertTrue(loop.hasCapacityForClient());
        first.publishOpenConnections(limits.connectionDescriptors() - 64 - 32 - 1);
        assertFalse(loop.hasCapacityForClient());
        first.close();
        second.refresh();
        assertTrue(loop.hasCapacityForClient());
        loop.stop();
    }
}
