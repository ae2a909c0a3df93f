package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Reads the endpoint list of the other process from its area of the hot-restart storage. A document that is being
 * written, or that was corrupted, does not match its checksum and is ignored. Confined to the event-loop thread.
 */
final class PeerEndpointList {
    private final HotRestartStorage storage;

    /** Header of the document that was returned last. */
    private ByteBuffer returnedHeader = ByteBuffer.allocate(HotRestartLayout.LIST_HEADER_BYTES);

    PeerEndpointList(HotRestartStorage storage) {
        this.storage = storage;
    }

    /** Returns the document if there is one and it is not the one that was returned last. */
    Optional<byte[]> readIfChanged() throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HotRestartLayout.LIST_HEADER_BYTES);
        if (!storage.readPeerList(0, header)) {
            return Optional.empty();
        }
        header.flip();
        int length = header.getInt(HotRestartLayout.LIST_LENGTH_OFFSET);
        if (length <= 0 || length > HotRestartLayout.MAX_LIST_BYTES || header.equals(returnedHeader)) {
            return Optional.empty();
        }
        byte[] document = new byte[length];
        if (!storage.readPeerList(HotRestartLayout.LIST_HEADER_BYTES, ByteBuffer.wrap(document))
                || OwnEndpointList.checksum(document) != header.getInt(HotRestartLayout.LIST_CHECKSUM_OFFSET)) {
            return Optional.empty();
        }
        returnedHeader = header;
        return Optional.of(document);
    }
}
