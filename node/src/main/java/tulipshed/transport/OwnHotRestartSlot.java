package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * The slot of this process: what it publishes, kept in memory and written to the storage change by change. Where a write
 * fails the changes are kept, until {@link #writeAll} has written everything again. Confined to the event-loop thread.
 */
final class OwnHotRestartSlot {
    private static final int READ_BACK_BYTES = 8192;

    private final ByteBuffer bytes;
    private final int capacity;
    private final ByteBuffer readBack = ByteBuffer.allocateDirect(READ_BACK_BYTES);

    /** Null while changes cannot be written. */
    private HotRestartStorage storage;

    /** The reason why writing failed since {@link #writeAll}, or null. */
    private IOException failure;

    /** An empty slot, which is not written anywhere yet. */
    OwnHotRestartSlot(int capacity) {
        this.capacity = capacity;
        bytes = ByteBuffer.allocateDirect(HotRestartLayout.slotBytes(capacity));
    }

    /**
     * Writes everything to the storage, and from now on each change. A process that reads meanwhile, or after this was cut
     * short, finds an empty slot.
     */
    void writeAll(HotRestartStorage target) throws IOException {
        storage = null;
        target.writeOwn(0, ByteBuffer.allocate(HotRestartLayout.HEADER_BYTES));
        target.writeOwn(
                HotRestartLayout.HEADER_BYTES,
                bytes.slice(HotRestartLayout.HEADER_BYTES, bytes.capacity() - HotRestartLayout.HEADER_BYTES));
        target.allocatePeer();
        target.writeOwn(0, bytes.slice(0, HotRestartLayout.HEADER_BYTES));
        storage = target;
        failure = null;
    }

    /** Writes no more changes. */
    void detach() {
        storage = null;
    }

    /** Whether everything that was published has been written. */
    boolean isWritten() {
        return storage != null;
    }

    /** Whether the storage still holds what was written: somebody may have cut the file off, or written to it. */
    boolean isIntact() throws IOException {
        return isIntact(0, HotRestartLayout.idOffset(idCount()))
                && isIntact(
                        HotRestartLayout.connectionOffset(capacity, 0),
                        connectionCount() * HotRestartLayout.CONNECTION_RECORD_BYTES);
    }

    private boolean isIntact(int start, int length) throws IOException {
        for (int done = 0; done < length; done += readBack.capacity()) {
            int size = Math.min(readBack.capacity(), length - done);
            storage.readOwn(start + done, readBack.clear().limit(size));
            if (!readBack.flip().equals(bytes.slice(start + done, size))) {
                return false;
            }
        }
        return true;
    }

    /** Why a write failed since {@link #writeAll}; null if none has. */
    IOException failure() {
        return failure;
    }

    /** Ids, and connections, that the slot has entries for. */
    int capacity() {
        return capacity;
    }

    /** How far this process has come. */
    ProcessState processState() {
        return ProcessState.ofCode(bytes.getInt(HotRestartLayout.STATE_OFFSET));
    }

    /** Publishes how far this process has come. */
    void setProcessState(ProcessState state) {
        putInt(HotRestartLayout.STATE_OFFSET, state.code());
    }

    /** Publishes the number of connections open in this process. */
    void setOpenConnections(int count) {
        putInt(HotRestartLayout.OPEN_CONNECTIONS_OFFSET, count);
    }

    /** Id entries ever used: all claimed ids are among that many first ones. */
    int idCount() {
        return bytes.getInt(HotRestartLayout.ID_COUNT_OFFSET);
    }

    /** Sets how many of the first id entries the other process reads. */
    void setIdCount(int count) {
        putInt(HotRestartLayout.ID_COUNT_OFFSET, count);
    }

    /** Writes the hash of a claimed id to an entry. */
    void putIdHash(int entry, long hash) {
        putLong(HotRestartLayout.idOffset(entry), hash);
    }

    /** Frees an id entry. */
    void clearIdHash(int entry) {
        putLong(HotRestartLayout.idOffset(entry), HotRestartLayout.NO_ID);
    }

    /** Connection records ever used: all established connections are among that many first ones. */
    int connectionCount() {
        return bytes.getInt(HotRestartLayout.CONNECTION_COUNT_OFFSET);
    }

    /** Sets how many of the first connection records the other process reads. */
    void setConnectionCount(int count) {
        putInt(HotRestartLayout.CONNECTION_COUNT_OFFSET, count);
    }

    /** Writes a connection that fits to a free record. */
    void putConnection(int record, EstablishedConnection connection) {
        int offset = HotRestartLayout.connectionOffset(capacity, record);
        bytes.putDouble(offset + HotRestartLayout.LOAD_HINT_OFFSET, connection.loadHintUsPerS());
        putText(offset + HotRestartLayout.ENDPOINT_ID_OFFSET, connection.endpointId());
        putText(offset + HotRestartLayout.GROUP_OFFSET, connection.group());
        write(
                offset + HotRestartLayout.LOAD_HINT_OFFSET,
                HotRestartLayout.CONNECTION_RECORD_BYTES - HotRestartLayout.LOAD_HINT_OFFSET);
        // The other process must not see the mark before the content.
        putLong(offset + HotRestartLayout.ESTABLISHED_OFFSET, HotRestartLayout.ESTABLISHED);
    }

    /** Frees a connection record. */
    void clearConnection(int record) {
        putLong(
                HotRestartLayout.connectionOffset(capacity, record) + HotRestartLayout.ESTABLISHED_OFFSET,
                HotRestartLayout.NOT_ESTABLISHED);
    }

    private void putText(int offset, String text) {
        byte[] encoded = HotRestartLayout.encode(text);
        bytes.put(offset, (byte) encoded.length);
        bytes.put(offset + 1, encoded);
    }

    private void putInt(int offset, int value) {
        bytes.putInt(offset, value);
        write(offset, Integer.BYTES);
    }

    private void putLong(int offset, long value) {
        bytes.putLong(offset, value);
        write(offset, Long.BYTES);
    }

    private void write(int offset, int length) {
        if (storage == null) {
            return;
        }
        try {
            storage.writeOwn(offset, bytes.slice(offset, length));
        } catch (IOException e) {
            storage = null;
            failure = e;
        }
    }
}
