package tulipshed.transport;

import java.nio.charset.StandardCharsets;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * Binary layout of the slot in which one process publishes its state, in the file shared by the two processes of a node.
 *
 * <p>Processes of different versions share the file, so the layout must not change. Numbers are big-endian. With a
 * capacity of {@code n} IDs and {@code n} connections, a slot contains:
 *
 * <pre>
 *  offset       size  content
 *  0               4  state of the process, see ProcessState
 *  4               4  open connections of the process
 *  8               4  number of id entries ever used
 *  12              4  number of connection records ever used
 *  16             8n  id entries: the hash of a claimed request id, or 0
 *  16 + 8n       96n  connection records
 *
 *  in a record:
 *  0               8  1 where a connection is established, else 0
 *  8               8  load hint, a double in µs/s
 *  16         1 + 39  endpoint id: its length in bytes, then UTF-8
 *  56         1 + 39  group: its length in bytes, 0 for none, then UTF-8
 * </pre>
 *
 * <p>The slots of all processes are followed by one endpoint-list area for each slot, of {@link #LIST_AREA_BYTES} bytes.
 * Earlier versions neither read nor write the areas. An area contains:
 *
 * <pre>
 *  offset       size  content
 *  0               4  length of the document, 0 for none
 *  4               4  CRC-32 of the document
 *  8               -  the document
 * </pre>
 *
 * <p>Only the process that holds the lock of a slot writes it; the other process may read it at any time. A record is written
 * before it is marked as established, and an entry or a record before the number of used ones is increased, so that
 * partially written content is not read.
 */
final class HotRestartLayout {
    /** Number of slots: the maximum number of processes of one node at a time. */
    static final int SLOT_COUNT = 2;

    static final int STATE_OFFSET = 0;
    static final int OPEN_CONNECTIONS_OFFSET = 4;
    static final int ID_COUNT_OFFSET = 8;
    static final int CONNECTION_COUNT_OFFSET = 12;
    static final int HEADER_BYTES = 16;
    static final int ID_ENTRY_BYTES = Long.BYTES;
    static final int CONNECTION_RECORD_BYTES = 96;

    static final int ESTABLISHED_OFFSET = 0;
    static final int LOAD_HINT_OFFSET = 8;
    static final int ENDPOINT_ID_OFFSET = 16;
    static final int GROUP_OFFSET = 56;
    static final int MAX_TEXT_BYTES = 39;

    /** Size of an endpoint-list area; the file is sparse, so that an area takes only the space that was written. */
    static final int LIST_AREA_BYTES = 4 * 1024 * 1024;

    static final int LIST_LENGTH_OFFSET = 0;
    static final int LIST_CHECKSUM_OFFSET = 4;
    static final int LIST_HEADER_BYTES = 8;
    static final int MAX_LIST_BYTES = LIST_AREA_BYTES - LIST_HEADER_BYTES;

    static final long ESTABLISHED = 1;
    static final long NOT_ESTABLISHED = 0;
    static final long NO_ID = 0;

    private HotRestartLayout() {}

    /** Size in bytes of a slot with {@code capacity} entries for IDs and as many for connections. */
    static int slotBytes(int capacity) {
        return HEADER_BYTES + capacity * (ID_ENTRY_BYTES + CONNECTION_RECORD_BYTES);
    }

    /** Offset of an ID entry in the slot. */
    static int idOffset(int entry) {
        return HEADER_BYTES + entry * ID_ENTRY_BYTES;
    }

    /** Offset of a connection record in a slot with that capacity. */
    static int connectionOffset(int capacity, int record) {
        return idOffset(capacity) + record * CONNECTION_RECORD_BYTES;
    }

    /** Whether the endpoint ID and the group of a connection fit into a record. */
    static boolean fits(EstablishedConnection connection) {
        return encode(connection.endpointId()).length <= MAX_TEXT_BYTES
                && encode(connection.group()).length <= MAX_TEXT_BYTES;
    }

    /** Encodes a text as UTF-8; returns an empty array for null. */
    static byte[] encode(String textOrNull) {
        return textOrNull == null ? new byte[0] : textOrNull.getBytes(StandardCharsets.UTF_8);
    }
}
