package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * Tests with a shared file that another program has filled with random bytes, or truncated, before the start or while a
 * process runs.
 */
class HotRestartCorruptedFileTest {
    private static final int IDS = 8;
    private static final int SLOT_BYTES = 848;
    private static final int FIRST_RECORD = 80;
    private static final int RECORD_BYTES = 96;

    @TempDir
    private Path directory;

    private Path file;

    @BeforeEach
    void setFilePath() {
        file = directory.resolve("share");
    }

    /**
     * Returns random bytes in which many records have a plausible established mark and text lengths, so that the other
     * fields are evaluated.
     */
    private static byte[] garbage(Random random) {
        byte[] bytes = new byte[random.nextInt(2 * SLOT_BYTES + 100)];
        random.nextBytes(bytes);
        for (int record = SLOT_BYTES + FIRST_RECORD; record + RECORD_BYTES < bytes.length; record += RECORD_BYTES) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            buffer.putLong(record, random.nextInt(3));
            buffer.put(record + 16, (byte) random.nextInt(60));
            buffer.put(record + 56, (byte) (random.nextInt(60) - 10));
        }
        return bytes;
    }

    @Test
    void ignoresContentThatNoProcessCanHaveWritten() throws IOException {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            Files.write(file, garbage(random));
            HotRestartState state = new HotRestartState(file, IDS);
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                    FileLock lock = channel.tryLock(1, 1, false)) {
                assertNotNull(lock);
                state.refresh();
                assertTrue(state.hasPeer());
                assertTrue(state.quotaShare() > 0);
                int connections = state.peerOpenConnections(1000);
                assertTrue(connections >= 0 && connections <= 1000, connections + " connections, seed " + seed);
                state.peerConnections().values().forEach(HotRestartCorruptedFileTest::assertValid);
                assertTrue(state.claimId("a"), "seed " + seed);
            } finally {
                state.close();
            }
        }
    }

    private static void assertValid(EstablishedConnection connection) {
        assertTrue(HotRestartLayout.fits(connection) && !connection.endpointId().isEmpty(), connection::toString);
        assertTrue(Double.isFinite(connection.loadHintUsPerS()) && connection.loadHintUsPerS() >= 0);
        assertFalse(connection.endpointId().contains("\uFFFD") || "\uFFFD".equals(connection.group()));
    }

    @Test
    void halvesQuotaWhileStateOfPeerIsUnknown() throws IOException {
        HotRestartState first = new HotRestartState(file, IDS);
        HotRestartState second = new HotRestartState(file, IDS);
        first.refresh();
        for (int code : new int[] {0, 4, -1, Integer.MAX_VALUE}) {
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                channel.write(ByteBuffer.allocate(4).putInt(0, code), SLOT_BYTES);
            }
            assertFalse(first.isPeerServing(), "state " + code);
            assertEquals(0.5, first.quotaShare(), "state " + code);
        }
        second.refresh();
        assertEquals(1, first.quotaShare(), "the other process has rewritten its state, STARTING");
    }

    /** A truncated file is complete again after the next refresh; until then no operation fails. */
    @Test
    void rewritesFileTruncatedWhileProcessesRun() throws IOException {
        HotRestartState first = new HotRestartState(file, IDS);
        HotRestartState second = new HotRestartState(file, IDS);
        EstablishedConnection connection = new EstablishedConnection("s-1", "desk", 0.5);
        second.markServing();
        assertTrue(second.claimId("a"));
        second.connectionEstablished(connection);
        first.refresh();
        for (int length = 0; length < 2 * SLOT_BYTES; length += 53) {
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                channel.truncate(length);
            }
            first.peerConnections();
            first.quotaShare();
            assertTrue(first.claimId("b" + length));
            first.releaseId("b" + length);
            second.refresh();
            first.refresh();
            assertEquals(1, Files.readAllBytes(file)[3], "state STARTING of this process, truncated at " + length);
            assertTrue(first.isPeerServing(), "truncated at " + length);
            assertFalse(first.claimId("a"));
            assertTrue(first.peerConnections().containsValue(connection));
        }
    }

    /**
     * All blocks are allocated, so a process of a version that maps the file cannot access a page that a full file
     * system cannot back.
     */
    @Test
    void fileHasNoHoles() throws IOException {
        int ids = 4096;
        HotRestartState state = new HotRestartState(file, ids);
        Process stat = new ProcessBuilder("stat", "-c", "%b", file.toString()).start();
        long allocated = 512 * Long.parseLong(stat.inputReader().readLine());
        assertTrue(allocated >= 2L * HotRestartLayout.slotBytes(ids), allocated + " bytes");
        state.close();
    }

    @Test
    void rejectedThirdProcessKeepsNoDescriptor() throws IOException {
        HotRestartState first = new HotRestartState(file, IDS);
        HotRestartState second = new HotRestartState(file, IDS);
        long before = openDescriptors();
        assertThrows(IllegalStateException.class, () -> new HotRestartState(file, IDS));
        assertEquals(before, openDescriptors());
        first.close();
        second.close();
    }

    private long openDescriptors() throws IOException {
        try (var descriptors = Files.list(Path.of("/proc/self/fd"))) {
            return descriptors
                    .filter(descriptor -> {
                        try {
                            return Files.readSymbolicLink(descriptor).equals(file.toRealPath());
                        } catch (IOException closedMeanwhile) {
                            return false;
                        }
                    })
                    .count();
        }
    }
}
