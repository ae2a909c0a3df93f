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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A discovery server on loopback that lists the endpoints published to it and responds to a watch at the next change.
 * Safe for use by any thread; each request is handled on a daemon thread of its own.
 */
public final class StubDiscovery implements AutoCloseable {
    private static final Pattern WATCH_QUERY = Pattern.compile("index=([0-9]{1,9})&wait=([0-9]{1,6})");
    private static final String DELETED = "DELETED";
    private static final int BACKLOG = 50;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int NO_BODY = -1;

    /** An index before all versions. */
    private static final long BEFORE_ALL = -1;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(StubDiscovery::daemon);
    private final Map<String, PublishedEndpoint> endpoints = new LinkedHashMap<>();
    private long version;
    private volatile boolean unavailable;
    private final AtomicLong listBytes = new AtomicLong();
    private final AtomicInteger pendingRequests = new AtomicInteger();

    private NotificationListener notificationListener = (receivedNanoTime, states) -> {};

    /** Is notified of each response with a list. */
    public interface NotificationListener {
        /**
         * A response was written.
         *
         * @param receivedNanoTime when its request was received, as {@link System#nanoTime} shows it
         * @param statesById the external state of each endpoint that the response names
         */
        void onNotified(long receivedNanoTime, Map<String, String> statesById);
    }

    /** The last state of an endpoint, and the version of the list that brought it. */
    private record PublishedEndpoint(long version, String state, String json) {}

    /** Listens on a free port. */
    public StubDiscovery() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(threads);
        server.createContext("/discovery/hosts", this::handle);
        server.start();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "stub");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Publishes an endpoint that started long ago, or another state of it: SERVING, DRAINING or DELETED. */
    public void publish(String id, InetSocketAddress at, String zone, String kind, String state) {
        publish(id, at, zone, kind, state, 1, 0);
    }

    /**
     * Publishes an endpoint, or another state of it.
     *
     * @param kind its machine type
     * @param weight its capacity relative to the others
     * @param startedMs when it started, as Unix time in milliseconds, or 0 for long ago
     */
    public synchronized void publish(
            String id, InetSocketAddress at, String zone, String kind, String state, double weight, long startedMs) {
        version++;
        String json = "{\"id\":\"" + id + "\",\"addr\":\"" + at.getAddress().getHostAddress() + ":" + at.getPort()
                + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind + "\",\"cell\":0,\"state\":\"" + state
                + "\",\"weight\":" + weight + ",\"started_ms\":" + startedMs + "}";
        endpoints.put(id, new PublishedEndpoint(version, state, json));
        notifyAll();
    }

    /** Returns the bytes of all lists and changes that were sent, without heads. */
    public long listBytes() {
        return listBytes.get();
    }

    /** Returns how many requests are received and not answered. */
    public int pendingRequests() {
        return pendingRequests.get();
    }

    /** Sets who is called, on the request's thread, after each response with a list. */
    public synchronized void onNotified(NotificationListener listener) {
        notificationListener = listener;
    }

    /** While unavailable, every request fails with status 503 and every pending watch ends so. */
    public synchronized void setUnavailable(boolean now) {
        unavailable = now;
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        long receivedNanoTime = System.nanoTime();
        pendingRequests.incrementAndGet();
        try {
            respond(exchange, receivedNanoTime);
        } finally {
            pendingRequests.decrementAndGet();
        }
    }

    private void respond(HttpExchange exchange, long receivedNanoTime) throws IOException {
        Matcher watch =
                WATCH_QUERY.matcher(String.valueOf(exchange.getRequestURI().getQuery()));
        Map<String, String> states = new LinkedHashMap<>();
        String list = watch.matches()
                ? awaitChanges(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)), states)
                : fullList(states);
        byte[] body = list.getBytes(StandardCharsets.UTF_8);
        if (unavailable) {
            exchange.sendResponseHeaders(SERVICE_UNAVAILABLE, NO_BODY);
            exchange.close();
            return;
        }
        exchange.sendResponseHeaders(OK, body.length);
        exchange.getResponseBody().write(body);
        listBytes.addAndGet(body.length);
        exchange.close();
        notificationListener().onNotified(receivedNanoTime, states);
    }

    private synchronized NotificationListener notificationListener() {
        return notificationListener;
    }

    /** Waits for a version after {@code index}, then returns the changes since, of which there may be none. */
    private synchronized String awaitChanges(long index, long waitMs, Map<String, String> states) {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        try {
            for (long remainingMs = waitMs;
                    version <= index && remainingMs > 0 && !unavailable;
                    remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime())) {
                wait(remainingMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return list(false, index, states);
    }

    private synchronized String fullList(Map<String, String> states) {
        return list(true, BEFORE_ALL, states);
    }

    /** Returns a list in discovery's form and adds the states in it; a full list leaves out deleted endpoints. */
    private synchronized String list(boolean full, long index, Map<String, String> states) {
        List<String> listed = new ArrayList<>();
        endpoints.forEach((id, endpoint) -> {
            if (endpoint.version() > index && !(full && endpoint.state().equals(DELETED))) {
                listed.add(endpoint.json());
                states.put(id, endpoint.state());
            }
        });
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", listed) + "]}";
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
