package tulipshed.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import tulipshed.proxy.EventLoop;

/** An event loop that also opens connections and takes over open ones, as needed by a protocol frontend. */
public interface ConnectionLoop extends EventLoop {
    /** A connection being opened. */
    interface PendingConnection {
        /** Suppresses the notification of the result; a connection that is established nevertheless is closed. */
        void abandon();
    }

    /** Whether the descriptor limit allows one more client connection together with its upstream connection. */
    boolean hasCapacityForClient();

    /** Whether the descriptor limit allows one more upstream connection. */
    boolean hasCapacityForUpstream();

    /** State shared with the other process of the node during a hot restart. */
    HotRestartState hotRestartState();

    /** Takes over an open connection, which is counted as a descriptor until it is closed. */
    TcpConnection register(StreamConnection connection, TcpConnection.Listener listener);

    /**
     * Opens a TCP connection; one of the two consumers is called on the loop's thread, unless the attempt is abandoned
     * before.
     */
    PendingConnection connect(
            InetSocketAddress to, Consumer<StreamConnection> onEstablished, Consumer<IOException> onFailed);
}
