package tulipshed.testing;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** Fills the kernel queue of connections that a listener has not accepted. */
public final class ListenerBacklog {
    private static final int CONNECT_TIMEOUT_MS = 300;

    private ListenerBacklog() {}

    /**
     * Connects until the queue is full, so that any further connection attempt hangs.
     *
     * @return the queued connections, which the caller closes
     */
    public static List<Socket> fill(ServerSocket listener) throws IOException {
        List<Socket> queued = new ArrayList<>();
        while (true) {
            Socket next = new Socket();
            try {
                next.connect(listener.getLocalSocketAddress(), CONNECT_TIMEOUT_MS);
                queued.add(next);
            } catch (SocketTimeoutException full) {
                next.close();
                return queued;
            }
        }
    }
}
