package tulipshed.testing;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** What the kernel keeps for a listener that accepts nothing. */
public final class ListenerBacklog {
    private static final int CONNECT_MS = 300;

    private ListenerBacklog() {}

    /** Connects until the kernel takes no more for it: whoever dials it then hangs. The connections are the caller's to close. */
    public static List<Socket> fill(ServerSocket full) throws IOException {
        List<Socket> waiting = new ArrayList<>();
        while (true) {
            Socket next = new Socket();
            try {
                next.connect(full.getLocalSocketAddress(), CONNECT_MS);
                waiting.add(next);
            } catch (SocketTimeoutException takesNoMore) {
                next.close();
                return waiting;
            }
        }
    }
}
