package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Storage for the slots of the two processes of a node. Confined to the event-loop thread. */
interface HotRestartStorage extends Closeable {
    /** Writes all remaining bytes of {@code bytes} to this process's slot. */
    void writeOwn(int offset, ByteBuffer bytes) throws IOException;

    /** Extends the storage with zeros to the end of the other slot, if it is shorter and no process holds that slot. */
    void allocatePeer() throws IOException;

    /** Fills {@code into} from the other process's slot; bytes that were never written read as zeros. */
    void readPeer(int offset, ByteBuffer into) throws IOException;

    /** Fills {@code into} from this process's slot, as {@link #readPeer} does. */
    void readOwn(int offset, ByteBuffer into) throws IOException;

    /** Whether a process holds the other slot. */
    boolean isPeerAlive() throws IOException;

    /**
     * Writes all remaining bytes of {@code bytes} to this process's endpoint-list area, which {@link #readPeerList}
     * finds from then on.
     *
     * @return false if nothing was written because another process checks the area at this moment
     */
    boolean writeOwnList(int offset, ByteBuffer bytes) throws IOException;

    /**
     * Fills {@code into} from the other process's endpoint-list area.
     *
     * @return false if the process that holds the other slot has written no list; {@code into} is unchanged then
     */
    boolean readPeerList(int offset, ByteBuffer into) throws IOException;

    /** Discards the endpoint-list area of this process, and its space if no other process is alive. */
    void discardOwnList() throws IOException;

    /** Opens a storage and takes a free slot in it. */
    interface Opener {
        /**
         * Opens the storage.
         *
         * @param mayWait whether the calling thread may block briefly while both slots seem to be taken
         * @throws IllegalStateException if both slots are taken
         */
        HotRestartStorage open(boolean mayWait) throws IOException;
    }
}
