package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * Slot of this process: the published state, kept in memory and written to the storage change by change. After a failed
 * write, changes are kept in memory until {@link #writeAll} has written the entire slot. Confined to the event-loop
 * thread.
 */
final class OwnHotRestartSlot {
    private static final int READ_BACK_BYTES = 8192;

    private final ByteBuffer bytes;
    private final int capacity;
    private final ByteBuffer readBack = ByteBuffer.allocateDirect(READ_BACK_BYTES);

    /** Null while changes are not written. */
    private HotRestartStorage storage;

    /** Failure of the first write that failed since {@link #writeAll}, or null. */
    private IOException failure;

    /** Creates an empty slot that is not written to a storage yet. */
    OwnHotRestartSlot(int capacity) {
        this.capacity = capacity;
        bytes = ByteBuffer.allocateDirect(HotRestartLayout.slotBytes(capacity));
    }

    /**
     * Writes the entire slot to the storage, and from then on each change. A process that reads during this, or after
     * this was interrupted, finds an empty slot.
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

    /** Stops writing changes. */
    void detach() {
        storage = null;
    }

    /** Whether the storage contains all published changes. */
    boolean isWritten() {
        return storage != null;
    }

    /**
     * Whether the storage still contains what was written; another program may have truncated or overwritten the file.
     */
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

    /** Failure of a write since {@link #writeAll}; null if none failed. */
    IOException failure() {
        return failure;
    }

    /** Number of entries of the slot for IDs, and for connections. */
    int capacity() {
        return capacity;
    }

    /** Lifecycle state of this process. */
    ProcessState processState() {
        return ProcessState.ofCode(bytes.getInt(HotRestartLayout.STATE_OFFSET));
    }

    /** Publishes the lifecycle state of this process. */
    void setProcessState(ProcessState state) {
        putInt(HotRestartLayout.STATE_OFFSET, state.code());
    }

    /** Publishes the number of connections open in this process. */
    void setOpenConnections(int count) {
        putInt(HotRestartLayout.OPEN_CONNECTIONS_OFFSET, count);
    }

    /** Number of ID entries ever used; all claimed IDs are in these first entries. */
    int idCount() {
        return bytes.getInt(HotRestartLayout.ID_COUNT_OFFSET);
    }

    /** Sets the number of ID entries that the other process reads. */
    void setIdCount(int count) {
        putInt(HotRestartLayout.ID_COUNT_OFFSET, count);
    }

    /** Writes the hash of a claimed ID to an entry. */
    void putIdHash(int entry, long hash) {
        putLong(HotRestartLayout.idOffset(entry), hash);
    }

    /** Frees an ID entry. */
    void clearIdHash(int entry) {
        putLong(HotRestartLayout.idOffset(entry), HotRestartLayout.NO_ID);
    }

    /** Number of connection records ever used; all established connections are in these first records. */
    int connectionCount() {
        return bytes.getInt(HotRestartLayout.CONNECTION_COUNT_OFFSET);
    }

    /** Sets the number of connection records that the other process reads. */
    void setConnectionCount(int count) {
        putInt(HotRestartLayout.CONNECTION_COUNT_OFFSET, count);
    }

    /** Writes a connection that fits into a record to a free record. */
    void putConnection(int record, EstablishedConnection connection) {
        int offset = HotRestartLayout.connectionOffset(capacity, record);
        bytes.putDouble(offset + HotRestartLayout.LOAD_HINT_OFFSET, connection.loadHintUsPerS());
        putText(offset + HotRestartLayout.ENDPOINT_ID_OFFSET, connection.endpointId());
        putText(offset + HotRestartLayout.GROUP_OFFSET, connection.group());
        write(
                offset + HotRestartLayout.LOAD_HINT_OFFSET,
                HotRestartLayout.CONNECTION_RECORD_BYTES - HotRestartLayout.LOAD_HINT_OFFSET);
        // The other process must not see the record as established before its content is written.
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
