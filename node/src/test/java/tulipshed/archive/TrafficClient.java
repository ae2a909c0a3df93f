package tulipshed.archive;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import tulipshed.testing.LoopbackSockets;

/** One client's connection to a node. For one thread. */
final class TrafficClient implements AutoCloseable {
    private static int opened;

    private final Socket socket;
    private final BufferedReader in;

    TrafficClient(InetSocketAddress node) throws IOException {
        socket = LoopbackSockets.connect(node);
        in = LoopbackSockets.reader(socket);
    }

    /** Connects, and sends an open command whose deadline is in milliseconds. */
    static TrafficClient open(InetSocketAddress node, String key, int deadlineMs, String more) throws IOException {
        TrafficClient client = new TrafficClient(node);
        opened++;
        client.send("OPEN archive" + opened + " " + key + " c=slot-booking,t=melnik-terminal,d=" + deadlineMs + more);
        return client;
    }

    void send(String line) throws IOException {
        LoopbackSockets.send(socket, line + "\r\n");
    }

    /** Returns the next line, which has to begin with a word. */
    String expect(String word) throws IOException {
        String line = in.readLine();
        if (line == null || !line.startsWith(word)) {
            throw new IOException("expected " + word + ", received " + line);
        }
        return line;
    }

    /** Reads up to the end of the connection. */
    void awaitEnd() throws IOException {
        while (in.readLine() != null) {
            // What comes before the end is of no interest.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
