package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.StreamConnection;

/** A listening TCP socket. Its owner is called back on the event-loop thread while connections wait. */
interface ListeningSocket extends Closeable {
    /** Accepts a connection; returns null if none waits. */
    StreamConnection accept() throws IOException;

    /** Enables the callback for waiting connections. */
    void resumeAccepts();

    /** Disables the callback; connections wait in the kernel's backlog. */
    void suspendAccepts();

    /** Local address. */
    InetSocketAddress address();

    /** Stops listening; does nothing if the socket is already closed. */
    @Override
    void close();
}
