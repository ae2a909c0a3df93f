package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * Slot of the other process. The other process may be writing it, or may have ended in the middle of a write, and other
 * programs may have corrupted the file. So the content is validated, and values that no process can have written are
 * ignored. Confined to the event-loop thread.
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

    /**
     * Creates a reader of the other process's slot, which has {@code capacity} entries for IDs and as many for
     * connections.
     */
    PeerHotRestartSlot(HotRestartStorage storage, int capacity) {
        this.storage = storage;
        this.capacity = capacity;
    }

    /** Lifecycle state of the process that holds the slot. */
    ProcessState processState() throws IOException {
        return ProcessState.ofCode(readHeader(HotRestartLayout.STATE_OFFSET));
    }

    /** Number of connections open in the process that holds the slot; negative only if the slot is corrupted. */
    int openConnections() throws IOException {
        return readHeader(HotRestartLayout.OPEN_CONNECTIONS_OFFSET);
    }

    /** Whether an ID with this hash is claimed in the slot. */
    boolean containsIdHash(long hash) throws IOException {
        return anyIdHash(claimed -> claimed == hash);
    }

    /** Returns the hashes of all IDs that are claimed in the slot. */
    Set<Long> idHashes() throws IOException {
        Set<Long> hashes = new HashSet<>();
        anyIdHash(claimed -> {
            hashes.add(claimed);
            return false;
        });
        hashes.remove(HotRestartLayout.NO_ID);
        return hashes;
    }

    /** Passes the entries to the predicate up to the first that it accepts; returns whether there is one. */
    private boolean anyIdHash(LongPredicate predicate) throws IOException {
        int count = usedEntries(HotRestartLayout.ID_COUNT_OFFSET);
        for (int first = 0; first < count; first += IDS_PER_READ) {
            int entries = Math.min(IDS_PER_READ, count - first);
            read(HotRestartLayout.idOffset(first), ids.clear().limit(entries * HotRestartLayout.ID_ENTRY_BYTES));
            for (int entry = 0; entry < entries; entry++) {
                if (predicate.test(ids.getLong(entry * HotRestartLayout.ID_ENTRY_BYTES))) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns the established connections of the slot by record number. Omits records that are being changed, which two
     * consecutive reads of them reveal, and records that no process can have written.
     */
    Map<Integer, EstablishedConnection> connections() throws IOException {
        Map<Integer, EstablishedConnection> connections = new HashMap<>();
        int count = usedEntries(HotRestartLayout.CONNECTION_COUNT_OFFSET);
        for (int first = 0; first < count; first += RECORDS_PER_READ) {
            int length = Math.min(RECORDS_PER_READ, count - first) * HotRestartLayout.CONNECTION_RECORD_BYTES;
            int offset = HotRestartLayout.connectionOffset(capacity, first);
            read(offset, records.clear().limit(length));
            read(offset, secondRead.clear().limit(length));
            addStableRecords(first, length / HotRestartLayout.CONNECTION_RECORD_BYTES, connections);
        }
        return connections;
    }

    /** Adds the connections of the records whose two reads are equal. */
    private void addStableRecords(int first, int count, Map<Integer, EstablishedConnection> connections) {
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
