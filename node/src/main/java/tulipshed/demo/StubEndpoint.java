package tulipshed.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A pool member on loopback that serves every first line and returns every further one. */
public final class StubEndpoint implements AutoCloseable {
    private final String id;
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** Listens on a free port. */
    public StubEndpoint(String id) throws IOException {
        this.id = id;
        StubDiscovery.daemon(this::accept).start();
    }

    /** What the list calls it. */
    public String id() {
        return id;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                StubDiscovery.daemon(() -> serve(socket)).start();
            }
        } catch (IOException e) {
            // It was closed.
            return;
        }
    }

    private void serve(Socket socket) {
        open.add(socket);
        try (socket;
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
            String first = in.readLine();
            boolean sound = first != null && first.startsWith("OPEN ");
            say(socket, sound ? "UP " + id : "SYNTAX");
            for (String line = sound ? in.readLine() : null; line != null; line = in.readLine()) {
                say(socket, line);
            }
        } catch (IOException e) {
            // The client or the node has gone.
            return;
        } finally {
            open.remove(socket);
        }
    }

    private static void say(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : open) {
            s.close();
        }
    }
}
