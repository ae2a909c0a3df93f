package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * Tests in which one process is stopped after any byte of its writes while the other one continues to read. A stopped
 * process still holds its lock, so this is a stricter case than a killed process, whose lock is released and whose slot
 * is no longer read.
 */
class HotRestartInterruptedWriteTest {
    private static final int IDS = 4;
    private static final int FIRST_RECORD = 16 + 8 * IDS;
    private static final EstablishedConnection STALE = new EstablishedConnection("stale", "stale", 9);

    private final InMemorySlots slots = new InMemorySlots(IDS);

    private static HotRestartState start(InMemorySlots slots, int process) {
        return new HotRestartState(mayWait -> slots.storage(process), IDS, NodeLog.silent());
    }

    private static EstablishedConnection publish(HotRestartState state, EstablishedConnection connection) {
        assertTrue(state.connectionEstablished(connection) >= 0);
        return connection;
    }

    /** Writes the recorded bytes to the first slot, and runs the check after each byte. */
    private void replay(List<InMemorySlots.Write> writes, Runnable check) {
        for (InMemorySlots.Write write : writes) {
            for (int i = 0; i < write.content().length; i++) {
                slots.firstSlot()[write.offset() + i] = write.content()[i];
                check.run();
            }
        }
    }

    /** Returns a slot left by a process that ended, with all entries in use by stale IDs and connections. */
    private static byte[] staleSlot() {
        InMemorySlots previousSlots = new InMemorySlots(IDS);
        HotRestartState state = start(previousSlots, 0);
        for (int i = 0; i < IDS; i++) {
            publish(state, STALE);
            state.claimId("stale");
        }
        return previousSlots.firstSlot();
    }

    @Test
    void ignoresPartiallyWrittenRecordOrEntry() {
        HotRestartState first = start(slots, 0);
        Set<EstablishedConnection> published = new HashSet<>();
        for (int i = 0; i < IDS; i++) {
            published.add(publish(first, new EstablishedConnection("s-" + i, "first", i)));
            first.claimId("id-" + i);
        }
        first.connectionEnded(1);
        published.add(publish(first, new EstablishedConnection("longer-id", null, 0.25)));
        first.releaseId("id-2");
        first.claimId("id-4");
        List<InMemorySlots.Write> writes = List.copyOf(slots.writes);
        byte[] written = slots.firstSlot().clone();
        HotRestartState second = start(slots, 1);

        System.arraycopy(staleSlot(), 0, slots.firstSlot(), 0, written.length);
        // The slot as after the first write of a process: the header is zero, and the rest is still the content of its
        // predecessor.
        System.arraycopy(new byte[16], 0, slots.firstSlot(), 0, 16);
        replay(writes, () -> {
            Map<Integer, EstablishedConnection> read = second.peerConnections();
            assertTrue(published.containsAll(read.values()), read::toString);
            assertTrue(second.claimId("stale"), "an entry was counted before its content was written");
            second.releaseId("stale");
        });
        assertEquals(IDS, second.peerConnections().size());
        assertFalse(second.claimId("id-4"));
    }

    /** A byte of the endpoint ID changes between the two reads of the record. */
    @Test
    void ignoresRecordThatChangesWhileItIsRead() {
        HotRestartState first = start(slots, 0);
        publish(first, new EstablishedConnection("s-1", "desk", 1));
        EstablishedConnection unchanged = publish(first, new EstablishedConnection("s-2", "desk", 1));
        HotRestartState second = start(slots, 1);
        slots.afterRead = () -> slots.firstSlot()[FIRST_RECORD + 17]++;
        assertEquals(Map.of(1, unchanged), second.peerConnections());
    }

    @Test
    void contentIsWrittenBeforeMarkAndCount() {
        HotRestartState first = start(slots, 0);
        slots.writes.clear();
        publish(first, STALE);
        assertEquals(
                List.of(FIRST_RECORD + 8, FIRST_RECORD, 12),
                slots.writes.stream().map(InMemorySlots.Write::offset).toList());
        assertEquals(1, ByteBuffer.wrap(slots.firstSlot()).getInt(12));
        slots.writes.clear();
        first.claimId("a");
        assertEquals(
                List.of(16, 8),
                slots.writes.stream().map(InMemorySlots.Write::offset).toList(),
                "the hash, then the count of entries");
    }
}
