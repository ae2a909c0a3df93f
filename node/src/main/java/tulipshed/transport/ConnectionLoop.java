package tulipshed.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.StreamConnection;
import tulipshed.proxy.EventLoop;

/** An event loop that also takes over and opens connections: what a protocol frontend needs of one. */
public interface ConnectionLoop extends EventLoop {
    /** A connection being opened. */
    interface PendingConnection {
        /** Suppresses the notification of the result; a connection that is established all the same is closed. */
        void abandon();
    }

    /** Whether a client's connection and its upstream connection stay within the descriptors allowed. */
    boolean hasCapacityForClient();

    /** Whether one more upstream connection stays within the descriptors allowed. */
    boolean hasCapacityForUpstream();

    /** What this process shares with the other one of its node during a hot restart. */
    HotRestartState hotRestartState();

    /** Takes over a connection that is open; it counts among the descriptors until it is closed. */
    TcpConnection register(StreamConnection connection, TcpConnection.Listener listener);

    /** Opens a TCP connection; one of the two consumers is called, on the loop's thread, unless it is abandoned before. */
    PendingConnection connect(
            InetSocketAddress to, Consumer<StreamConnection> onEstablished, Consumer<IOException> onFailed);
}
