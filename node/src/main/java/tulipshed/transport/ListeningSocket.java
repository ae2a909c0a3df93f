package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.StreamConnection;

/** A TCP socket that listens. Its owner is called back on the event-loop thread while connections wait. */
interface ListeningSocket extends Closeable {
    /** Accepts a connection; null where none waits. */
    StreamConnection accept() throws IOException;

    /** From now on the owner is called back while connections wait. */
    void resumeAccepts();

    /** From now on connections wait in the kernel. */
    void suspendAccepts();

    /** The local address. */
    InetSocketAddress address();

    /** Stops listening; does nothing where it was closed. */
    @Override
    void close();
}
