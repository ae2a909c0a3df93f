package standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A slot server that hands each first line to a handler; a handler serves one connection to its end. */
public final class SlotServer {
    /** Serves one connection after its first line. */
    public interface Handler {
        void serve(SlotServer server, Line line, String first) throws Exception;
    }

    private final String id;
    private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final Set<Line> connections = ConcurrentHashMap.newKeySet();
    private final Record record;

    public SlotServer(String id, Record record, Handler handler) throws IOException {
        this.id = id;
        this.record = record;
        Threads.start(() -> {
            while (true) {
                Socket connection = listener.accept();
                Threads.start(() -> serve(connection, handler));
            }
        });
    }

    private void serve(Socket connection, Handler handler) throws Exception {
        Line line = new Line(connection);
        connections.add(line);
        try (line) {
            String first = line.read(600_000);
            if (first != null) {
                record.line("%s got: %s", id, first);
                handler.serve(this, line, first);
            }
        } finally {
            connections.remove(line);
        }
    }

    /** Echoes each line until the connection ends. */
    public static void echo(Line line) throws IOException {
        for (String next = line.read(600_000); next != null; next = line.read(600_000)) {
            line.send(next);
        }
    }

    public String id() {
        return id;
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** The process ends: its connections are reset, new ones are refused. */
    public void die() throws IOException {
        listener.close();
        for (Line connection : connections) {
            connection.reset();
        }
        record.line("%s has stopped", id);
    }

    /** The value of one name in a first line; empty without it. */
    public static String field(String first, String name) {
        for (String field : first.substring(first.lastIndexOf(' ') + 1).split(",")) {
            if (field.startsWith(name + "=")) {
                return field.substring(name.length() + 1);
            }
        }
        return "";
    }

    /** The key of the flow in a first line. */
    public static String key(String first) {
        return first.split(" ")[2];
    }
}
