package standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Discovery by the protocol page: the whole list, and watches that wait for changes. While it is down, its connections
 * are reset and new ones are refused.
 */
public final class Discovery {
    private static final Pattern WATCH = Pattern.compile("GET /discovery/hosts\\?index=([0-9]+)&wait=([0-9]+) .*");
    private static final Pattern WHOLE = Pattern.compile("GET /discovery/hosts .*");

    /** Told of each list that was written to a node. */
    public interface Listener {
        void written(double atMs, Map<String, String> statesById);
    }

    private record Entry(long version, String state, String json) {}

    private final Record record;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final int port;
    private ServerSocket listener;
    private long version = 1;
    private volatile Listener written = (atMs, states) -> {};

    private volatile int crowdedCalls;
    private volatile int crowdedWaitMs;

    /** All open watches fall silent: they answer nothing more. Calls that come later are answered. */
    public synchronized void silenceOpenWatches() {
        record.line("open watches fall silent");
        generation++;
        notifyAll();
    }

    private long generation;
    private long watchesOpened;

    /** Waits until a node opens or continues a watch. */
    public synchronized void awaitNextWatch() throws InterruptedException {
        for (long before = watchesOpened; watchesOpened == before; ) {
            wait();
        }
    }

    /** The next calls that do not wait, this many, wait in turn for so long and then end in 503. */
    public void crowd(int calls, int waitMs) {
        crowdedWaitMs = waitMs;
        crowdedCalls = calls;
    }

    public Discovery(Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        accept(listener);
    }

    public String address() {
        return "127.0.0.1:" + port;
    }

    public void onWritten(Listener heard) {
        written = heard;
    }

    /** Lists a slot server, or changes its state: SERVING, DRAINING or DELETED. */
    public void publish(String id, String address, String zone, int cell, String state) {
        publish(id, address, zone, cell, state, 0);
    }

    /** The same, with the Unix time in milliseconds at which the slot server started, or 0 for long ago. */
    public synchronized void publish(
            String id, String address, String zone, int cell, String state, long startedMs) {
        version++;
        entries.put(id, new Entry(version, state, json(id, address, zone, cell, state, startedMs)));
        record.line("discovery has %s %s, version %d", id, state, version);
        notifyAll();
    }

    private static String json(String id, String address, String zone, int cell, String state, long startedMs) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"std-2c\",\"cell\":" + cell + ",\"state\":\"" + state
                + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }

    /** The whole list, as it stands for `known` in a configuration. */
    public synchronized String wholeList() {
        return list(true, -1, new LinkedHashMap<>());
    }

    private synchronized String list(boolean full, long after, Map<String, String> states) {
        List<String> listed = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (entry.version() > after && !(full && entry.state().equals("DELETED"))) {
                listed.add(entry.json());
                states.put(id, entry.state());
            }
        });
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", listed) + "]}";
    }

    /** The answer to a watch; null if it has fallen silent. */
    private synchronized String awaitChanges(long index, long waitMs, Map<String, String> states)
            throws InterruptedException {
        long opened = generation;
        if (waitMs > 0) {
            watchesOpened++;
            notifyAll();
        }
        long endNs = System.nanoTime() + waitMs * 1_000_000;
        for (long leftMs = waitMs; version <= index && leftMs > 0 && opened == generation; leftMs = (endNs - System.nanoTime()) / 1_000_000) {
            wait(leftMs);
        }
        return opened == generation ? list(false, index, states) : null;
    }

    /** Discovery goes down: connections are reset, new ones are refused. */
    public synchronized void goDown() throws IOException {
        record.line("discovery goes down");
        listener.close();
        listener = null;
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }

    public synchronized void comeBack() throws IOException {
        ServerSocket reopened = new ServerSocket();
        reopened.setReuseAddress(true);
        reopened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
        listener = reopened;
        accept(reopened);
        record.line("discovery is back");
    }

    private void accept(ServerSocket from) {
        Threads.start(() -> {
            while (!from.isClosed()) {
                Socket connection = from.accept();
                connections.add(connection);
                Threads.start(() -> serve(connection));
            }
        });
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                for (String field = in.readLine(); field != null && !field.isEmpty(); field = in.readLine()) {}
                answer(connection.getOutputStream(), line);
            }
        } finally {
            connections.remove(connection);
        }
    }

    private void answer(OutputStream out, String line) throws Exception {
        Map<String, String> states = new LinkedHashMap<>();
        Matcher watch = WATCH.matcher(line);
        String body;
        if (watch.matches()) {
            if (watch.group(2).equals("0") && crowdedCalls > 0) {
                crowdedCalls--;
                record.line("a call waits in turn");
                Threads.sleepMs(crowdedWaitMs);
                record.line("it has waited too long: 503");
                out.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                return;
            }
            body = awaitChanges(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)), states);
            if (body == null) {
                Threads.sleepMs(600_000);
                return;
            }
        } else if (WHOLE.matcher(line).matches()) {
            synchronized (this) {
                body = list(true, -1, states);
            }
        } else {
            out.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return;
        }
        byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
        byte[] head = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] whole = new byte[head.length + bytes.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(bytes, 0, whole, head.length, bytes.length);
        out.write(whole);
        double atMs = Record.nowMs();
        if (!states.isEmpty()) {
            record.line("discovery wrote %s", states);
            written.written(atMs, states);
        }
    }
}
