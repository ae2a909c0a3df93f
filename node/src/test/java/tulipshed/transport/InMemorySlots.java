package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The slots of two processes in memory, whose calls can be made to fail, with a record of the first one's writes. */
final class InMemorySlots {
    /** Thrown by the calls that are made to fail; null where none are. */
    IOException failure;

    /** Run after each read. */
    Runnable afterRead = () -> {};

    /** All writes of the first process in their order. */
    final List<Write> writes = new ArrayList<>();

    private final byte[][] slots;

    /** One write to a slot. */
    record Write(int offset, byte[] content) {}

    InMemorySlots(int ids) {
        slots = new byte[HotRestartLayout.SLOT_COUNT][HotRestartLayout.slotBytes(ids)];
    }

    /** What the first process has written, to be changed by the test. */
    byte[] firstSlot() {
        return slots[0];
    }

    /** The storage of the first or the second process, which takes the other one for alive. */
    HotRestartStorage storage(int process) {
        return new HotRestartStorage() {
            @Override
            public void writeOwn(int offset, ByteBuffer bytes) throws IOException {
                failWhereWanted();
                byte[] content = new byte[bytes.remaining()];
                bytes.get(content);
                System.arraycopy(content, 0, slots[process], offset, content.length);
                if (process == 0) {
                    writes.add(new Write(offset, content));
                }
            }

            @Override
            public void allocatePeer() throws IOException {
                failWhereWanted();
            }

            @Override
            public void readPeer(int offset, ByteBuffer into) throws IOException {
                failWhereWanted();
                into.put(slots[1 - process], offset, into.remaining());
                afterRead.run();
            }

            @Override
            public void readOwn(int offset, ByteBuffer into) throws IOException {
                failWhereWanted();
                into.put(slots[process], offset, into.remaining());
            }

            @Override
            public boolean isPeerAlive() throws IOException {
                failWhereWanted();
                return true;
            }

            @Override
            public void close() {
                // Nothing is held.
            }
        };
    }

    private void failWhereWanted() throws IOException {
        if (failure != null) {
            throw failure;
        }
    }
}
