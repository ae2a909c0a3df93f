package tulipshed.warmup;

import java.nio.ByteBuffer;

/** The end of a connection in memory that is not the node's. */
interface RemoteEnd {
    /** Takes what the node has written at once; the buffer is consumed. */
    void onBytes(InMemoryConnection connection, ByteBuffer bytes);

    /** The node has ended its sending, or closed the connection. */
    void onEnd(InMemoryConnection connection);
}
