package tulipshed.warmup;

import java.nio.ByteBuffer;

/** The remote end of an in-memory connection of the node. */
interface RemoteEnd {
    /** Receives the bytes of one write of the node and consumes the buffer. */
    void onBytes(InMemoryConnection connection, ByteBuffer bytes);

    /** Called when the node has ended its output or closed the connection. */
    void onEnd(InMemoryConnection connection);
}
