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
 * A discovery server on loopback that lists the endpoints published to it and responds to a watch at the next change or
 * when its wait ends. Safe for use by any thread; each pending request has its own daemon thread.
 */
public final class StubDiscovery implements AutoCloseable {
    private static final Pattern WATCH_QUERY = Pattern.compile("index=([0-9]{1,9})&wait=([0-9]{1,6})");
    private static final String DELETED = "DELETED";
    private static final int BACKLOG = 50;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int NO_BODY = -1;

    /** An index that is lower than every version. */
    private static final long INDEX_BEFORE_FIRST_VERSION = -1;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(StubDiscovery::daemonThread);
    private final Map<String, PublishedEndpoint> endpoints = new LinkedHashMap<>();
    private long version;
    private volatile boolean unavailable;
    private final AtomicLong listBytes = new AtomicLong();
    private final AtomicInteger pendingRequests = new AtomicInteger();

    private NotificationListener notificationListener = (receivedNanoTime, states) -> {};

    /** A listener for responses that contain an endpoint list. */
    public interface NotificationListener {
        /**
         * Called after a response was written.
         *
         * @param receivedNanoTime the {@link System#nanoTime} at which the request was received
         * @param statesById the external state of each endpoint in the response
         */
        void onNotified(long receivedNanoTime, Map<String, String> statesById);
    }

    /** The last published state of an endpoint, and the list version that introduced it. */
    private record PublishedEndpoint(long version, String state, String json) {}

    /** Starts the server on a free port. */
    public StubDiscovery() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(threads);
        server.createContext("/discovery/hosts", this::handle);
        server.start();
    }

    static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "stub");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Publishes an endpoint with start time 0 and weight 1, or its new state: SERVING, DRAINING or DELETED. */
    public void publish(String id, InetSocketAddress address, String zone, String machineType, String state) {
        publish(id, address, zone, machineType, state, 1, 0);
    }

    /**
     * Publishes an endpoint, or a new state of it.
     *
     * @param machineType the machine type, listed as {@code kind}
     * @param weight the capacity relative to the other endpoints
     * @param startedMs the start time as Unix time in milliseconds, or 0 for an endpoint that started long ago
     */
    public synchronized void publish(
            String id,
            InetSocketAddress address,
            String zone,
            String machineType,
            String state,
            double weight,
            long startedMs) {
        version++;
        String json = "{\"id\":\"" + id + "\",\"addr\":\""
                + address.getAddress().getHostAddress() + ":" + address.getPort()
                + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + machineType + "\",\"cell\":0,\"state\":\"" + state
                + "\",\"weight\":" + weight + ",\"started_ms\":" + startedMs + "}";
        endpoints.put(id, new PublishedEndpoint(version, state, json));
        notifyAll();
    }

    /** Returns the total size in bytes of the full lists and updates that were sent, without HTTP headers. */
    public long listBytes() {
        return listBytes.get();
    }

    /** Returns the number of requests that were received and not answered yet. */
    public int pendingRequests() {
        return pendingRequests.get();
    }

    /** Sets the listener, which is called on the request's thread after each response that contains a list. */
    public synchronized void setNotificationListener(NotificationListener listener) {
        notificationListener = listener;
    }

    /** Sets whether every request, including each pending watch, fails with status 503. */
    public synchronized void setUnavailable(boolean newUnavailable) {
        unavailable = newUnavailable;
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

    /**
     * Waits until the version exceeds {@code index} or the wait ends, then returns the changes since, possibly none.
     */
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
        return list(true, INDEX_BEFORE_FIRST_VERSION, states);
    }

    /**
     * Returns a list in discovery's format and adds its states to {@code states}; a full list omits deleted endpoints.
     */
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
