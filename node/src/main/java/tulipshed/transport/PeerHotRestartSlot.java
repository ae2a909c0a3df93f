package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * The slot of the other process, which may write it at this moment, may have been stopped in the middle of a write, and
 * whose file anybody may have spoilt: what is read is checked, and what no process could have written is not believed.
 * Confined to the event-loop thread.
 */
final class PeerHotRestartSlot {
    private static final int RECORDS_PER_READ = 256;
    private static final int IDS_PER_READ = 1024;

    private final HotRestartStorage storage;
    private final int capacity;
    private final ByteBuffer header = ByteBuffer.allocateDirect(HotRestartLayout.HEADER_BYTES);
    private final ByteBuffer ids = ByteBuffer.allocateDirect(IDS_PER_READ * HotRestartLayout.ID_ENTRY_BYTES);
    private final ByteBuffer records =
            ByteBuffer.allocateDirect(RECORDS_PER_READ * HotRestartLayout.CONNECTION_RECORD_BYTES);
    private final ByteBuffer secondRead =
            ByteBuffer.allocateDirect(RECORDS_PER_READ * HotRestartLayout.CONNECTION_RECORD_BYTES);

    /** The slot of the other process with entries for that many ids and connections. */
    PeerHotRestartSlot(HotRestartStorage storage, int capacity) {
        this.storage = storage;
        this.capacity = capacity;
    }

    /** How far the process of this slot has come. */
    ProcessState processState() throws IOException {
        return ProcessState.ofCode(readHeader(HotRestartLayout.STATE_OFFSET));
    }

    /** Connections open in the process of this slot; negative only if the slot was spoilt. */
    int openConnections() throws IOException {
        return readHeader(HotRestartLayout.OPEN_CONNECTIONS_OFFSET);
    }

    /** Whether an id with this hash is claimed in this slot. */
    boolean containsIdHash(long hash) throws IOException {
        int count = usedEntries(HotRestartLayout.ID_COUNT_OFFSET);
        for (int first = 0; first < count; first += IDS_PER_READ) {
            int entries = Math.min(IDS_PER_READ, count - first);
            read(HotRestartLayout.idOffset(first), ids.clear().limit(entries * HotRestartLayout.ID_ENTRY_BYTES));
            for (int entry = 0; entry < entries; entry++) {
                if (ids.getLong(entry * HotRestartLayout.ID_ENTRY_BYTES) == hash) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * The established connections of this slot, by record. Left out is a record that changes at this moment, as two reads
     * of it differ, and one that no process can have written.
     */
    Map<Integer, EstablishedConnection> connections() throws IOException {
        Map<Integer, EstablishedConnection> connections = new HashMap<>();
        int count = usedEntries(HotRestartLayout.CONNECTION_COUNT_OFFSET);
        for (int first = 0; first < count; first += RECORDS_PER_READ) {
            int length = Math.min(RECORDS_PER_READ, count - first) * HotRestartLayout.CONNECTION_RECORD_BYTES;
            int offset = HotRestartLayout.connectionOffset(capacity, first);
            read(offset, records.clear().limit(length));
            read(offset, secondRead.clear().limit(length));
            addUnchanged(first, length / HotRestartLayout.CONNECTION_RECORD_BYTES, connections);
        }
        return connections;
    }

    /** Adds the connections of records that were read twice with the same content. */
    private void addUnchanged(int first, int count, Map<Integer, EstablishedConnection> connections) {
        for (int i = 0; i < count; i++) {
            int offset = i * HotRestartLayout.CONNECTION_RECORD_BYTES;
            ByteBuffer record = records.slice(offset, HotRestartLayout.CONNECTION_RECORD_BYTES);
            if (record.equals(secondRead.slice(offset, HotRestartLayout.CONNECTION_RECORD_BYTES))) {
                int number = first + i;
                decode(record).ifPresent(connection -> connections.put(number, connection));
            }
        }
    }

    private static Optional<EstablishedConnection> decode(ByteBuffer record) {
        double loadHint = record.getDouble(HotRestartLayout.LOAD_HINT_OFFSET);
        if (record.getLong(HotRestartLayout.ESTABLISHED_OFFSET) != HotRestartLayout.ESTABLISHED
                || !Double.isFinite(loadHint)
                || loadHint < 0) {
            return Optional.empty();
        }
        try {
            String endpointId = readText(record, HotRestartLayout.ENDPOINT_ID_OFFSET);
            String group = readText(record, HotRestartLayout.GROUP_OFFSET);
            return endpointId.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new EstablishedConnection(endpointId, group.isEmpty() ? null : group, loadHint));
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    private static String readText(ByteBuffer record, int offset) throws CharacterCodingException {
        int length = record.get(offset);
        if (length < 0 || length > HotRestartLayout.MAX_TEXT_BYTES) {
            throw new CharacterCodingException();
        }
        return StandardCharsets.UTF_8
                .newDecoder()
                .decode(record.slice(offset + 1, length))
                .toString();
    }

    private int usedEntries(int countOffset) throws IOException {
        return Math.max(0, Math.min(capacity, readHeader(countOffset)));
    }

    private int readHeader(int offset) throws IOException {
        read(0, header.clear());
        return header.getInt(offset);
    }

    private void read(int offset, ByteBuffer into) throws IOException {
        storage.readPeer(offset, into);
    }
}
