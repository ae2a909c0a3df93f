package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Where the two processes of a node keep their slots. Confined to the event-loop thread. */
interface HotRestartStorage extends Closeable {
    /** Writes all of {@code bytes} to this process's slot. */
    void writeOwn(int offset, ByteBuffer bytes) throws IOException;

    /** Backs the other process's slot with zeros where it has no bytes yet and no process holds it. */
    void allocatePeer() throws IOException;

    /** Fills {@code into} from the other process's slot; what was never written there reads as zeros. */
    void readPeer(int offset, ByteBuffer into) throws IOException;

    /** Fills {@code into} from this process's slot, as {@link #readPeer} does. */
    void readOwn(int offset, ByteBuffer into) throws IOException;

    /** Whether a process holds the other slot. */
    boolean isPeerAlive() throws IOException;

    /** Opens a storage and takes a free slot of it. */
    interface Opener {
        /**
         * Opens the storage.
         *
         * @param mayWait whether the calling thread may be blocked for a moment while both slots seem taken
         * @throws IllegalStateException if both slots are taken
         */
        HotRestartStorage open(boolean mayWait) throws IOException;
    }
}
