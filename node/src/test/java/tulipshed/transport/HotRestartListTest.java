package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The endpoint lists in the file that the two processes of a node share. */
class HotRestartListTest {
    private static final int CAPACITY = 4;
    private static final byte[] LIST = "{\"version\":9}".getBytes(StandardCharsets.US_ASCII);

    @TempDir
    private Path directory;

    private HotRestartState open() {
        return new HotRestartState(directory.resolve("share"), CAPACITY);
    }

    @Test
    void eachProcessReadsEachListOfTheOtherOnce() throws Exception {
        HotRestartState first = open();
        HotRestartState second = open();
        assertEquals(Optional.empty(), second.changedPeerEndpointList());
        assertTrue(first.publishEndpointList(LIST));
        assertArrayEquals(LIST, second.changedPeerEndpointList().orElseThrow());
        assertEquals(Optional.empty(), second.changedPeerEndpointList(), "unchanged");
        assertTrue(first.publishEndpointList("{}".getBytes(StandardCharsets.US_ASCII)));
        assertEquals(2, second.changedPeerEndpointList().orElseThrow().length);
        assertEquals(Optional.empty(), first.changedPeerEndpointList(), "a process does not read its own list");
        first.close();
        second.close();
    }

    /** Guards against the list of a process that ended long ago, which its successor in the slot has not written. */
    @Test
    void listOfAnEarlierProcessIsNotRead() throws Exception {
        HotRestartState ended = open();
        ended.publishEndpointList(LIST);
        ended.close();
        HotRestartState first = open();
        HotRestartState second = open();
        assertEquals(Optional.empty(), second.changedPeerEndpointList());
        first.close();
        second.close();
    }

    @Test
    void withdrawnListTakesNoSpaceAndIsNotRead() throws Exception {
        HotRestartState first = open();
        long sizeWithoutList = Files.size(directory.resolve("share"));
        HotRestartState second = open();
        first.publishEndpointList(LIST);
        second.close();
        first.withdrawEndpointList();
        assertEquals(sizeWithoutList, Files.size(directory.resolve("share")));
        HotRestartState third = open();
        assertEquals(Optional.empty(), third.changedPeerEndpointList());
        first.close();
        third.close();
    }

    /** Guards against half of a list, where the other process is writing it or was killed in the middle. */
    @Test
    void corruptedListIsNotRead() throws Exception {
        InMemorySlots slots = new InMemorySlots(CAPACITY);
        HotRestartStorage writer = slots.storage(0);
        assertTrue(new OwnEndpointList(writer).write(LIST));
        writer.writeOwnList(HotRestartLayout.LIST_HEADER_BYTES, ByteBuffer.allocate(1));
        assertEquals(Optional.empty(), new PeerEndpointList(slots.storage(1)).readIfChanged());
        writer.writeOwnList(0, ByteBuffer.allocate(Integer.BYTES).putInt(0, -1));
        assertEquals(Optional.empty(), new PeerEndpointList(slots.storage(1)).readIfChanged());
        assertFalse(new OwnEndpointList(writer).write(new byte[HotRestartLayout.LIST_AREA_BYTES]));
    }
}
