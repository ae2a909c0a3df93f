package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * Tests with a shared file whose operations fail, in the order in which a process performs them, and succeed again
 * later.
 */
class HotRestartFailureTest {
    private static final int IDS = 8;
    private static final EstablishedConnection CONNECTION = new EstablishedConnection("s-1", "desk", 0.5);

    private final InMemorySlots slots = new InMemorySlots(IDS);
    private final List<String> lines = new ArrayList<>();
    private boolean canOpen = true;

    private HotRestartState start(int process) {
        return new HotRestartState(
                mayWait -> {
                    if (!canOpen) {
                        throw new IOException("No locks available");
                    }
                    return slots.storage(process);
                },
                IDS,
                NodeLog.to(lines::add));
    }

    private static void refresh(HotRestartState state, int count) {
        for (int i = 0; i < count; i++) {
            state.refresh();
        }
    }

    private static void publish(HotRestartState state) {
        state.markServing();
        state.publishOpenConnections(3);
        assertTrue(state.claimId("a"));
        assertEquals(0, state.connectionEstablished(CONNECTION));
    }

    private static void assertSeesPublished(HotRestartState other) {
        other.refresh();
        assertTrue(other.isPeerServing());
        assertEquals(3, other.peerOpenConnections(1024));
        assertFalse(other.claimId("a"));
        assertEquals(Map.of(0, CONNECTION), other.peerConnections());
    }

    @Test
    void servesWithoutFileAndJoinsOnceItCanBeOpened() {
        HotRestartState second = start(1);
        canOpen = false;
        HotRestartState first = start(0);
        publish(first);
        refresh(first, 100);
        assertFalse(first.hasPeer());
        assertEquals(1, first.quotaShare());
        assertEquals(
                List.of(
                        "WARN node: hot restart unavailable, cannot use TMPDIR: java.io.IOException: No locks available"),
                lines);
        canOpen = true;
        refresh(first, 8);
        assertTrue(first.hasPeer());
        assertSeesPublished(second);
        assertEquals("INFO node: hot restart available again", lines.get(1));
        assertEquals(2, lines.size());
    }

    @Test
    void joinsWhenFullDirectoryHasRoomAgain() {
        HotRestartState second = start(1);
        slots.failure = new IOException("No space left on device");
        HotRestartState first = start(0);
        publish(first);
        refresh(first, 10);
        slots.failure = null;
        refresh(first, 1);
        assertSeesPublished(second);
        assertEquals(2, lines.size(), lines::toString);
    }

    @Test
    void writesEverythingAgainAfterWriteHasFailed() {
        HotRestartState first = start(0);
        HotRestartState second = start(1);
        slots.failure = new IOException("Input/output error");
        publish(first);
        slots.failure = null;
        second.refresh();
        assertFalse(second.isPeerServing(), "nothing was written");
        first.refresh();
        assertSeesPublished(second);
        assertEquals(2, lines.size(), lines::toString);
    }

    @Test
    void peerThatCannotBeReadCountsAsAliveForLimitedTime() {
        HotRestartState first = start(0);
        HotRestartState second = start(1);
        publish(first);
        assertSeesPublished(second);
        second.markServing();
        slots.failure = new IOException("Input/output error");
        refresh(second, 39);
        assertTrue(second.hasPeer());
        assertEquals(0.5, second.quotaShare());
        assertFalse(second.isPeerServing(), "nothing is handed over to it");
        assertEquals(3, second.peerOpenConnections(1024));
        assertEquals(Map.of(0, CONNECTION), second.peerConnections());
        assertTrue(second.claimId("b"));
        refresh(second, 1);
        assertFalse(second.hasPeer());
        assertEquals(1, second.quotaShare());
        assertEquals(1, lines.size(), lines::toString);
    }

    /** A continuing failure is logged once; a new one after a minute without failures is logged again. */
    @Test
    void logsFailureAgainAfterQuietMinute() {
        HotRestartState first = start(0);
        for (int outage = 0; outage < 2; outage++) {
            slots.failure = new IOException("Input/output error");
            refresh(first, 300);
            slots.failure = null;
            refresh(first, 241);
        }
        assertEquals(4, lines.size(), lines::toString);
    }
}
