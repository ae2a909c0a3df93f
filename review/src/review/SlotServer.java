package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A slot server of the line protocol: UP, then each line back; BUSY while it is full or drains. */
public final class SlotServer {
    /** Hears of each first line, at the time at which its last byte was read. */
    public interface Listener {
        void opened(SlotServer server, String line, double atMs);
    }

    public final String id;
    private final Case of;
    private final Listener listener;
    private final ServerSocket socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private volatile boolean isTurningAway;

    public SlotServer(Case of, String id, Listener listener) throws IOException {
        this.of = of;
        this.id = id;
        this.listener = listener;
        Case.daemon(this::accept);
    }

    public int port() {
        return socket.getLocalPort();
    }

    public void drain() {
        turnAway();
    }

    /** From now on first lines are answered BUSY, as by a server that is full or drains. */
    public void turnAway() {
        isTurningAway = true;
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                Case.daemon(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection;
                var in = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII))) {
            String line = in.readLine();
            if (line == null) {
                return;
            }
            double atMs = of.nowMs();
            String answer = !line.startsWith("OPEN ") ? "SYNTAX" : isTurningAway ? "BUSY" : "UP " + id;
            of.log(id + " reads " + line + ", answers " + answer);
            listener.opened(this, line, atMs);
            send(connection, answer);
            if (!answer.startsWith("UP")) {
                return;
            }
            for (line = in.readLine(); line != null; line = in.readLine()) {
                send(connection, line);
            }
        } catch (IOException e) {
            of.log(id + ": a connection broke: " + e.getMessage());
        }
    }

    private static void send(Socket connection, String line) throws IOException {
        connection.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }
}
