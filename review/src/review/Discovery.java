package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery as the protocol page has it; each answer may be late by a set time. */
public final class Discovery {
    private static final Pattern WATCH = Pattern.compile("index=([0-9]+)&wait=([0-9]+)");

    private record Entry(long version, String state, String json) {}

    private final Case of;
    private final HttpServer server;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long version = 40;
    private volatile long lateMs;
    private boolean isDown;

    public Discovery(Case of) throws IOException {
        this.of = of;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/discovery/hosts", this::handle);
        server.start();
    }

    public int port() {
        return server.getAddress().getPort();
    }

    public void setLate(long ms) {
        lateMs = ms;
    }

    /** Down: watches end, and each call ends in 503. */
    public synchronized void setDown(boolean down) {
        isDown = down;
        of.log("discovery is " + (down ? "down" : "up again"));
        notifyAll();
    }

    private synchronized boolean isDown() {
        return isDown;
    }

    public synchronized void publish(String id, int port, String kind, String state) {
        version++;
        entries.put(
                id,
                new Entry(
                        version,
                        state,
                        "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port
                                + "\",\"zone\":\"decin\",\"kind\":\"" + kind + "\",\"cell\":0,\"state\":\"" + state
                                + "\",\"weight\":1.0,\"started_ms\":0}"));
        of.log("discovery has version " + version + ": " + id + " " + state);
        notifyAll();
    }

    public synchronized long version() {
        return version;
    }

    public synchronized String servers() {
        return entries(-1, true);
    }

    private synchronized String entries(long index, boolean full) {
        StringBuilder out = new StringBuilder();
        entries.values().stream()
                .filter(entry -> entry.version > index && !(full && entry.state.equals("DELETED")))
                .forEach(entry -> out.append(out.length() == 0 ? "" : ",").append(entry.json));
        return out.toString();
    }

    private synchronized String answer(long index, boolean full) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + entries(index, full) + "]}";
    }

    private synchronized void awaitNewer(long index, long waitMs) {
        long untilNs = System.nanoTime() + waitMs * 1_000_000;
        while (version <= index && !isDown && System.nanoTime() < untilNs) {
            try {
                wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        String query = String.valueOf(exchange.getRequestURI().getQuery());
        of.log("discovery is called: " + query);
        double calledMs = of.nowMs();
        Matcher watch = WATCH.matcher(query);
        boolean isWatch = watch.matches();
        long index = isWatch ? Long.parseLong(watch.group(1)) : -1;
        if (isWatch) {
            awaitNewer(index, Long.parseLong(watch.group(2)));
        }
        Case.sleep(lateMs);
        if (isDown()) {
            try (exchange) {
                exchange.sendResponseHeaders(503, -1);
            }
            return;
        }
        String text = answer(index, !isWatch);
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        try (exchange) {
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            of.log(String.format("discovery has answered after %.0f ms: %s", of.nowMs() - calledMs, text));
        } catch (IOException e) {
            of.log(String.format("the node had given up the call after %.0f ms", of.nowMs() - calledMs));
        }
    }
}
