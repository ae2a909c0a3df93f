package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * In-memory slots of two processes, whose operations can be made to fail, with a record of the first process's writes.
 */
final class InMemorySlots {
    /** Thrown by all operations if not null. */
    IOException failure;

    /** Runs after each read of the peer's slot. */
    Runnable afterRead = () -> {};

    /** All writes of the first process in order. */
    final List<Write> writes = new ArrayList<>();

    private final byte[][] slots;

    /** Endpoint-list area of each process, null if it has published none. */
    private final ByteBuffer[] lists = new ByteBuffer[HotRestartLayout.SLOT_COUNT];

    /** A write to a slot. */
    record Write(int offset, byte[] content) {}

    InMemorySlots(int ids) {
        slots = new byte[HotRestartLayout.SLOT_COUNT][HotRestartLayout.slotBytes(ids)];
    }

    /** Returns the slot of the first process, which the test may modify. */
    byte[] firstSlot() {
        return slots[0];
    }

    /** Returns the storage of the first or second process, to which the other process always appears alive. */
    HotRestartStorage storage(int process) {
        return new Storage(process);
    }

    private void throwConfiguredFailure() throws IOException {
        if (failure != null) {
            throw failure;
        }
    }

    /** The storage as one of the processes sees it. */
    private final class Storage implements HotRestartStorage {
        private final int process;

        Storage(int process) {
            this.process = process;
        }

        @Override
        public void writeOwn(int offset, ByteBuffer bytes) throws IOException {
            throwConfiguredFailure();
            byte[] content = new byte[bytes.remaining()];
            bytes.get(content);
            System.arraycopy(content, 0, slots[process], offset, content.length);
            if (process == 0) {
                writes.add(new Write(offset, content));
            }
        }

        @Override
        public void allocatePeer() throws IOException {
            throwConfiguredFailure();
        }

        @Override
        public void readPeer(int offset, ByteBuffer into) throws IOException {
            throwConfiguredFailure();
            into.put(slots[1 - process], offset, into.remaining());
            afterRead.run();
        }

        @Override
        public void readOwn(int offset, ByteBuffer into) throws IOException {
            throwConfiguredFailure();
            into.put(slots[process], offset, into.remaining());
        }

        @Override
        public boolean writeOwnList(int offset, ByteBuffer bytes) throws IOException {
            throwConfiguredFailure();
            if (lists[process] == null) {
                lists[process] = ByteBuffer.allocate(HotRestartLayout.LIST_AREA_BYTES);
            }
            lists[process].slice(offset, bytes.remaining()).put(bytes);
            return true;
        }

        @Override
        public boolean readPeerList(int offset, ByteBuffer into) throws IOException {
            throwConfiguredFailure();
            if (lists[1 - process] == null) {
                return false;
            }
            into.put(lists[1 - process].slice(offset, into.remaining()));
            return true;
        }

        @Override
        public void discardOwnList() throws IOException {
            throwConfiguredFailure();
            lists[process] = null;
        }

        @Override
        public boolean isPeerAlive() throws IOException {
            throwConfiguredFailure();
            return true;
        }

        @Override
        public void close() {
            // There is nothing to release.
        }
    }
}
