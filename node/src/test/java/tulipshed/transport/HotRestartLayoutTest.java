package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * Tests of the bytes of the file shared by two processes of a node, which may be of different versions. Offsets and
 * values are literals on purpose: a failure here means that a hot restart between versions would break.
 *
 * <p>With entries for 8 IDs and 8 connections, a slot has 16 + 8 * (8 + 96) = 848 bytes.
 */
class HotRestartLayoutTest {
    @TempDir
    private Path directory;

    private Path file;
    private HotRestartState state;

    @BeforeEach
    void startProcess() throws IOException {
        file = directory.resolve("share");
        state = new HotRestartState(file, 8);
    }

    @AfterEach
    void endProcess() throws IOException {
        state.close();
    }

    private ByteBuffer bytes() throws IOException {
        return ByteBuffer.wrap(Files.readAllBytes(file));
    }

    private byte[] bytesAt(int offset, int count) throws IOException {
        return Arrays.copyOfRange(Files.readAllBytes(file), offset, offset + count);
    }

    /** Writes bytes as a process of a different version would. */
    private void write(int offset, ByteBuffer content) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.write(content, offset);
        }
    }

    private static ByteBuffer intBytes(int value) {
        return ByteBuffer.allocate(4).putInt(value).flip();
    }

    private static ByteBuffer longBytes(long value) {
        return ByteBuffer.allocate(8).putLong(value).flip();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void fileHoldsTwoSlots() throws IOException {
        assertEquals(1696, Files.size(file));
    }

    @Test
    void writesStateOfProcessAtOffset0() throws IOException {
        assertEquals(1, bytes().getInt(0), "starting");
        state.markServing();
        assertEquals(2, bytes().getInt(0), "serving");
        state.markLeaving();
        assertEquals(3, bytes().getInt(0), "leaving");
        state.close();
        assertEquals(0, bytes().getInt(0), "none");
    }

    @Test
    void writesNumbersBigEndian() throws IOException {
        state.publishOpenConnections(0x01020304);
        assertArrayEquals(new byte[] {0, 0, 0, 1, 1, 2, 3, 4}, bytesAt(0, 8));
    }

    @Test
    void writesHashesOfIdsFromOffset16() throws IOException {
        state.claimId("a");
        state.claimId("station-7");
        ByteBuffer bytes = bytes();
        assertEquals(2, bytes.getInt(8), "entries used");
        assertEquals(0xAF63DC4C8601EC8CL, bytes.getLong(16));
        assertEquals(0x03083CFE39D80617L, bytes.getLong(24));
        state.releaseId("a");
        assertEquals(2, bytes().getInt(8));
        assertEquals(0, bytes().getLong(16), "released");
        state.claimId("é");
        assertEquals(0xAF64644C8602D3A4L, bytes().getLong(16), "hash over UTF-16, in the entry that was released");
    }

    @Test
    void writesConnectionsFromOffset80() throws IOException {
        state.connectionEstablished(new EstablishedConnection("s-1", "desk", 0.5));
        int second = state.connectionEstablished(new EstablishedConnection("é", null, 0));
        ByteBuffer bytes = bytes();
        assertEquals(2, bytes.getInt(12), "records used");
        assertEquals(1, bytes.getLong(80), "established");
        assertEquals(0.5, bytes.getDouble(88), "load hint");
        assertEquals(3, bytes.get(96), "length of endpoint id");
        assertArrayEquals(utf8("s-1"), bytesAt(97, 3));
        assertEquals(4, bytes.get(136), "length of group");
        assertArrayEquals(utf8("desk"), bytesAt(137, 4));
        assertEquals(1, bytes.getLong(176), "the second record");
        assertEquals(2, bytes.get(192), "length in bytes of UTF-8");
        assertArrayEquals(new byte[] {(byte) 0xC3, (byte) 0xA9}, bytesAt(193, 2));
        assertEquals(0, bytes.get(232), "no group");
        state.connectionEnded(second);
        assertEquals(0, bytes().getLong(176), "ended");
        assertEquals(2, bytes().getInt(12));
    }

    @Test
    void writesTextsOfUpTo39Bytes() throws IOException {
        String longest = "s".repeat(39);
        assertEquals(0, state.connectionEstablished(new EstablishedConnection(longest, longest, 0)));
        assertEquals(-1, state.connectionEstablished(new EstablishedConnection("s", "g".repeat(40), 0)));
        assertEquals(39, bytes().get(96));
        assertEquals(39, bytes().get(136));
        assertArrayEquals(utf8(longest), bytesAt(137, 39), "up to the next record");
    }

    @Test
    void secondProcessWritesSlotAtOffset848() throws IOException {
        HotRestartState second = new HotRestartState(file, 8);
        second.markServing();
        second.publishOpenConnections(5);
        second.claimId("a");
        second.connectionEstablished(new EstablishedConnection("s-1", null, 0));
        assertEquals(1, bytes().getInt(0), "the first slot belongs to the first process");
        assertEquals(2, bytes().getInt(848));
        assertEquals(5, bytes().getInt(852));
        assertEquals(1, bytes().getInt(856));
        assertEquals(1, bytes().getInt(860));
        assertEquals(0xAF63DC4C8601EC8CL, bytes().getLong(864));
        assertEquals(1, bytes().getLong(928));
        assertEquals(3, bytes().get(944));
        second.close();
    }

    @Test
    void locksByteOfItsSlot() throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            assertThrows(OverlappingFileLockException.class, () -> channel.tryLock(0, 1, false));
            FileLock freeSlot = channel.tryLock(1, 1695, false);
            assertNotNull(freeSlot, "nothing but byte 0 is locked");
        }
    }

    @Test
    void treatsLockOnByteOfOtherSlotAsPeer() throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock(1, 1, false)) {
            assertNotNull(lock);
            state.refresh();
            assertTrue(state.hasPeer());
        }
        state.refresh();
        assertFalse(state.hasPeer());
    }

    @Test
    void readsSlotWrittenByOtherVersion() throws IOException {
        ByteBuffer record = ByteBuffer.allocate(96);
        record.putLong(0, 1).putDouble(8, 2.5).put(16, (byte) 3).put(17, utf8("s-9"));
        record.put(56, (byte) 5).put(57, utf8("dock2"));
        write(848, intBytes(2));
        write(852, intBytes(17));
        write(856, intBytes(1));
        write(860, intBytes(2));
        write(864, longBytes(0xAF63DC4C8601EC8CL));
        write(928 + 96, record);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock(1, 1, false)) {
            assertNotNull(lock);
            state.refresh();
            assertTrue(state.isPeerServing());
            assertEquals(17, state.peerOpenConnections(1024));
            assertFalse(state.claimId("a"));
            assertTrue(state.claimId("b"));
            assertEquals(Map.of(1, new EstablishedConnection("s-9", "dock2", 2.5)), state.peerConnections());
        }
    }

    @Test
    void readsEachStateOfOtherProcess() throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock(1, 1, false)) {
            assertNotNull(lock);
            state.refresh();
            for (int number = 0; number <= 3; number++) {
                write(848, intBytes(number));
                assertEquals(number == 2, state.isPeerServing(), "state " + number);
            }
        }
    }
}
