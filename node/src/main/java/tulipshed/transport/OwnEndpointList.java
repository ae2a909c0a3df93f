package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Writes the endpoint list of this process to its area of the hot-restart storage, as a document whose format the
 * caller defines. Confined to the event-loop thread.
 */
final class OwnEndpointList {
    private final HotRestartStorage storage;

    OwnEndpointList(HotRestartStorage storage) {
        this.storage = storage;
    }

    /**
     * Replaces the document. A process that reads during this, or after this was interrupted, finds no document.
     *
     * @return whether the document was written; false if it is longer than the area, or if the area is briefly in use
     */
    boolean write(byte[] document) throws IOException {
        if (document.length > HotRestartLayout.MAX_LIST_BYTES) {
            return false;
        }
        ByteBuffer none = ByteBuffer.allocate(HotRestartLayout.LIST_HEADER_BYTES);
        return storage.writeOwnList(0, none)
                && storage.writeOwnList(HotRestartLayout.LIST_HEADER_BYTES, ByteBuffer.wrap(document))
                && storage.writeOwnList(0, header(document));
    }

    private static ByteBuffer header(byte[] document) {
        return ByteBuffer.allocate(HotRestartLayout.LIST_HEADER_BYTES)
                .putInt(HotRestartLayout.LIST_LENGTH_OFFSET, document.length)
                .putInt(HotRestartLayout.LIST_CHECKSUM_OFFSET, checksum(document));
    }

    /** Returns the checksum of a document, as the header of the area contains it. */
    static int checksum(byte[] document) {
        CRC32 crc = new CRC32();
        crc.update(document);
        return (int) crc.getValue();
    }
}
