package tulipshed.demo;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A discovery on loopback that names the members it is told, and answers watches as soon as there is news. */
public final class StubDiscovery implements AutoCloseable {
    private static final Pattern WATCH = Pattern.compile("index=([0-9]{1,9})&wait=([0-9]{1,6})");

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(StubDiscovery::daemon);
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long version;
    private volatile boolean setUnavailable;

    private Consumer<Map<String, String>> told = entries -> {};

    private record Entry(long version, String state, String json) {}

    /** Listens on a free port. */
    public StubDiscovery() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(threads);
        server.createContext("/discovery/hosts", this::answer);
        server.start();
    }

    static Thread daemon(Runnable task) {
        Thread t = new Thread(task, "stand-in");
        t.setDaemon(true);
        return t;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Names a member that has long run, or another state of it: SERVING, DRAINING or DELETED. */
    public void publish(String id, InetSocketAddress at, String zone, String kind, String state) {
        publish(id, at, zone, kind, state, 1, 0);
    }

    /**
     * Names a member, or another state of it.
     *
     * @param weight its size among the others
     * @param startedMs when it started, as Unix time in milliseconds, or 0 for long ago
     */
    public synchronized void publish(
            String id, InetSocketAddress at, String zone, String kind, String state, double weight, long startedMs) {
        version++;
        entries.put(
                id,
                new Entry(
                        version,
                        state,
                        "{\"id\":\"" + id + "\",\"addr\":\"" + at.getAddress().getHostAddress() + ":"
                                + at.getPort() + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind
                                + "\",\"cell\":0,\"state\":\"" + state
                                + "\",\"weight\":" + weight + ",\"started_ms\":" + startedMs + "}"));
        notifyAll();
    }

    /** Has somebody hear what each answer told, the state of each member by its name; called on a thread of its own. */
    public synchronized void onNotified(Consumer<Map<String, String>> listener) {
        told = listener;
    }

    /** From now on, or no more, every call fails and every watch is broken off. */
    public synchronized void setUnavailable(boolean now) {
        setUnavailable = now;
        notifyAll();
    }

    private void answer(HttpExchange call) throws IOException {
        Matcher watch = WATCH.matcher(String.valueOf(call.getRequestURI().getQuery()));
        Map<String, String> states = new LinkedHashMap<>();
        byte[] body = (watch.matches()
                        ? changes(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)), states)
                        : list(true, -1, states))
                .getBytes(StandardCharsets.UTF_8);
        if (setUnavailable) {
            call.sendResponseHeaders(503, -1);
            call.close();
            return;
        }
        call.sendResponseHeaders(200, body.length);
        call.getResponseBody().write(body);
        call.close();
        listener().accept(states);
    }

    private synchronized Consumer<Map<String, String>> listener() {
        return told;
    }

    private synchronized String changes(long since, long waitMs, Map<String, String> states) {
        long untilNs = System.nanoTime() + waitMs * 1_000_000;
        try {
            for (long left = waitMs;
                    version <= since && left > 0 && !setUnavailable;
                    left = (untilNs - System.nanoTime()) / 1_000_000) {
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return list(false, since, states);
    }

    private synchronized String list(boolean whole, long since, Map<String, String> states) {
        List<String> named = new ArrayList<>();
        entries.forEach((id, e) -> {
            if (e.version() > since && !(whole && e.state().equals("DELETED"))) {
                named.add(e.json());
                states.put(id, e.state());
            }
        });
        return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":[" + String.join(",", named) + "]}";
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
