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

class SiblingsTest {
    @TempDir
    private Path folder;

    private Path file;
    private HotRestartState old;

    @BeforeEach
    void first() throws IOException {
        file = folder.resolve("share");
        old = new HotRestartState(file, 8);
        old.markServing();
    }

    @Test
    void oneAloneHasAll() {
        assertFalse(old.hasPeer());
        assertEquals(1, old.quotaShare());
        assertTrue(old.claimId("a"));
    }

    @Test
    void allowancesAreSharedOnlyWhileBothServe() throws IOException {
        HotRestartState next = new HotRestartState(file, 8);
        old.refresh();
        assertTrue(old.hasPeer() && next.isPeerServing());
        assertEquals(1, old.quotaShare(), "the other does not take clients yet");
        next.markServing();
        assertEquals(0.5, old.quotaShare());
        assertEquals(0.5, next.quotaShare());
        old.markLeaving();
        assertEquals(0, old.quotaShare());
        assertEquals(1, next.quotaShare());
        old.close();
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
    void anIdThatOneHasOpenIsNotTheOthers() throws IOException {
        assertTrue(old.claimId("a"));
        HotRestartState next = new HotRestartState(file, 8);
        old.refresh();
        assertFalse(next.claimId("a"));
        assertTrue(next.claimId("b"));
        assertFalse(old.claimId("b"));
        old.releaseId("a");
        assertTrue(next.claimId("a"));
        for (int i = 0; i < 100; i++) {
            assertTrue(old.claimId("x" + i), "what finds no place is not shared");
            old.releaseId("x" + i);
        }
    }

    /** What a dead process left in the file must not bind the next one. */
    @Test
    void nothingIsLeftOfAProcessThatEnded() throws IOException {
        old.claimId("a");
        old.open(7);
        old.close();
        HotRestartState next = new HotRestartState(file, 8);
        assertFalse(next.hasPeer() || next.isPeerServing());
        assertTrue(next.claimId("a"));
        assertEquals(0, next.peerOpenConnections());
    }

    @Test
    void whatStandsInOneIsToldToTheOtherUntilItEnds() throws IOException {
        HotRestartPeer.EstablishedConnection one = new HotRestartPeer.EstablishedConnection("s-1", "desk", 0.5);
        HotRestartPeer.EstablishedConnection two = new HotRestartPeer.EstablishedConnection("s-2", null, 0);
        int place = old.connectionEstablished(one);
        int second = old.connectionEstablished(two);
        HotRestartState next = new HotRestartState(file, 8);
        assertEquals(Map.of(place, one, second, two), next.peerConnections());
        assertEquals(Map.of(), old.peerConnections(), "and not to itself");
        old.connectionEnded(place);
        assertEquals(Map.of(second, two), next.peerConnections());
        assertEquals(place, old.connectionEstablished(two), "its place is free again");
        assertEquals(
                -1,
                old.connectionEstablished(new HotRestartPeer.EstablishedConnection("s".repeat(40), null, 0)),
                "what has no room is not told");
        for (int i = 0; i < 6; i++) {
            assertTrue(old.connectionEstablished(one) >= 0);
        }
        assertEquals(-1, old.connectionEstablished(one));
        old.close();
        next.refresh();
        assertEquals(Map.of(), next.peerConnections(), "all ends with its process");
    }

    @Test
    void theDescriptorsOfBothAreThoseOfOneNode() throws IOException {
        Limits limits = Limits.forDescriptors(400);
        HotRestartState next = new HotRestartState(file, 8);
        XnioEventLoop loop = new XnioEventLoop(limits, next, NodeLog.silent());
        old.open(limits.connectionDescriptors() - 64 - 32 - 2);
        assertTrue(loop.hasCapacityForClient());
        old.open(limits.connectionDescriptors() - 64 - 32 - 1);
        assertFalse(loop.hasCapacityForClient());
        old.close();
        next.refresh();
        assertTrue(loop.hasCapacityForClient());
        loop.stop();
    }
}
