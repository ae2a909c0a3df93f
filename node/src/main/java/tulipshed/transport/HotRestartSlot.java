package tulipshed.transport;

import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * The slot of one process in the file that the two processes of a node share, and the layout of its bytes.
 *
 * <p>Processes of different versions share the file, so the layout must not change. Numbers are big-endian. With a
 * capacity of {@code n} ids and {@code n} connections a slot holds:
 *
 * <pre>
 *  offset       size  content
 *  0               4  state of the process, see ProcessState
 *  4               4  open connections of the process
 *  8               4  number of id entries ever used
 *  12              4  number of connection records ever used
 *  16              8n id entries: the hash of a claimed request id, or 0
 *  16 + 8n        96n connection records
 *
 *  in a record:
 *  0               8  1 where a connection is established, else 0
 *  8               8  load hint, a double in µs/s
 *  16         1 + 39  endpoint id: its length in bytes, then UTF-8
 *  56         1 + 39  group: its length in bytes, 0 for none, then UTF-8
 * </pre>
 *
 * <p>Only the process that holds the slot's lock writes it; the other one reads it at any moment.
 */
final class HotRestartSlot {
    /** Processes of one node at a time. */
    static final int SLOT_COUNT = 2;

    private static final int STATE_OFFSET = 0;
    private static final int OPEN_CONNECTIONS_OFFSET = 4;
    private static final int ID_COUNT_OFFSET = 8;
    private static final int CONNECTION_COUNT_OFFSET = 12;
    private static final int ID_ENTRIES_OFFSET = 16;
    private static final int ID_ENTRY_BYTES = Long.BYTES;
    private static final int CONNECTION_RECORD_BYTES = 96;

    private static final int ESTABLISHED_OFFSET = 0;
    private static final int LOAD_HINT_OFFSET = 8;
    private static final int ENDPOINT_ID_OFFSET = 16;
    private static final int GROUP_OFFSET = 56;
    private static final int MAX_TEXT_BYTES = 39;

    private static final long ESTABLISHED = 1;
    private static final long NOT_ESTABLISHED = 0;
    private static final long NO_ID = 0;

    private final ByteBuffer file;
    private final int start;
    private final int capacity;

    /**
     * A view of one slot.
     *
     * @param file the bytes of the shared file
     * @param index which of the slots
     * @param capacity ids, and connections, that a slot has entries for
     */
    HotRestartSlot(ByteBuffer file, int index, int capacity) {
        this.file = file;
        this.start = index * size(capacity);
        this.capacity = capacity;
    }

    /** Bytes of a slot with entries for that many ids and connections. */
    static int size(int capacity) {
        return ID_ENTRIES_OFFSET + capacity * (ID_ENTRY_BYTES + CONNECTION_RECORD_BYTES);
    }

    /** Whether the texts of a connection fit into a record. */
    static boolean fits(EstablishedConnection connection) {
        return encode(connection.endpointId()).length <= MAX_TEXT_BYTES
                && encode(connection.group()).length <= MAX_TEXT_BYTES;
    }

    /** Ids, and connections, that the slot has entries for. */
    int capacity() {
        return capacity;
    }

    /** Discards what an earlier process left in the slot. */
    void clear() {
        setProcessState(ProcessState.NONE);
        setOpenConnections(0);
        setIdCount(0);
        setConnectionCount(0);
    }

    /** How far the process of this slot has come. */
    ProcessState processState() {
        return ProcessState.ofCode(file.getInt(start + STATE_OFFSET));
    }

    /** Publishes how far the process of this slot has come. */
    void setProcessState(ProcessState state) {
        file.putInt(start + STATE_OFFSET, state.code());
    }

    /** Connections open in the process of this slot. */
    int openConnections() {
        return file.getInt(start + OPEN_CONNECTIONS_OFFSET);
    }

    /** Publishes the connections open in the process of this slot. */
    void setOpenConnections(int count) {
        file.putInt(start + OPEN_CONNECTIONS_OFFSET, count);
    }

    /** Id entries ever used: all claimed ids are among that many first ones. */
    int idCount() {
        return file.getInt(start + ID_COUNT_OFFSET);
    }

    /** Sets how many of the first id entries the other process reads. */
    void setIdCount(int count) {
        file.putInt(start + ID_COUNT_OFFSET, count);
    }

    /** Writes the hash of a claimed id to an entry. */
    void putIdHash(int entry, long hash) {
        file.putLong(idOffset(entry), hash);
    }

    /** Frees an id entry. */
    void clearIdHash(int entry) {
        file.putLong(idOffset(entry), NO_ID);
    }

    /** Whether an id with this hash is claimed in this slot. */
    boolean containsIdHash(long hash) {
        int count = Math.min(capacity, idCount());
        for (int entry = 0; entry < count; entry++) {
            if (file.getLong(idOffset(entry)) == hash) {
                return true;
            }
        }
        return false;
    }

    /** Connection records ever used: all established connections are among that many first ones. */
    int connectionCount() {
        return file.getInt(start + CONNECTION_COUNT_OFFSET);
    }

    /** Sets how many of the first connection records the other process reads. */
    void setConnectionCount(int count) {
        file.putInt(start + CONNECTION_COUNT_OFFSET, count);
    }

    /** Writes a connection that {@link #fits} to a record. */
    void putConnection(int record, EstablishedConnection connection) {
        int offset = connectionOffset(record);
        file.putDouble(offset + LOAD_HINT_OFFSET, connection.loadHintUsPerS());
        putText(offset + ENDPOINT_ID_OFFSET, connection.endpointId());
        putText(offset + GROUP_OFFSET, connection.group());
        // The other process must not see the mark before the content.
        VarHandle.fullFence();
        file.putLong(offset + ESTABLISHED_OFFSET, ESTABLISHED);
    }

    /** Frees a connection record. */
    void clearConnection(int record) {
        file.putLong(connectionOffset(record) + ESTABLISHED_OFFSET, NOT_ESTABLISHED);
    }

    /**
     * The established connections of this slot, by record. One that is being written at this moment may be read wrongly; the
     * next read corrects it.
     */
    Map<Integer, EstablishedConnection> connections() {
        Map<Integer, EstablishedConnection> connections = new HashMap<>();
        int count = Math.min(capacity, connectionCount());
        for (int record = 0; record < count; record++) {
            if (file.getLong(connectionOffset(record) + ESTABLISHED_OFFSET) != NOT_ESTABLISHED) {
                connections.put(record, readConnection(connectionOffset(record)));
            }
        }
        return connections;
    }

    private EstablishedConnection readConnection(int offset) {
        String group = readText(offset + GROUP_OFFSET);
        return new EstablishedConnection(
                readText(offset + ENDPOINT_ID_OFFSET),
                group.isEmpty() ? null : group,
                file.getDouble(offset + LOAD_HINT_OFFSET));
    }

    private int idOffset(int entry) {
        return start + ID_ENTRIES_OFFSET + entry * ID_ENTRY_BYTES;
    }

    private int connectionOffset(int record) {
        return idOffset(capacity) + record * CONNECTION_RECORD_BYTES;
    }

    private void putText(int offset, String text) {
        byte[] bytes = encode(text);
        file.put(offset, (byte) bytes.length);
        file.put(offset + 1, bytes);
    }

    private String readText(int offset) {
        byte[] bytes = new byte[Math.max(0, Math.min(MAX_TEXT_BYTES, file.get(offset)))];
        file.get(offset + 1, bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static byte[] encode(String textOrNull) {
        return textOrNull == null ? new byte[0] : textOrNull.getBytes(StandardCharsets.UTF_8);
    }
}
