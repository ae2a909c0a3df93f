package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.limits.DiscoveryLimits;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.ProxyCore;
import tulipshed.testing.DelegatingBalancer;
import tulipshed.time.SystemClock;
import tulipshed.transport.XnioEventLoop;

/**
 * Fixture with a watch at version 41 that has made its first call, and a server in place of discovery whose responses
 * each test controls. Notifications of the decision module are collected in {@link #notifications}.
 */
abstract class EndpointWatchFixture {
    /** Limits of a node with 1024 descriptors; tests override single timeouts. */
    static final DiscoveryLimits DEFAULTS = Limits.forDescriptors(1024).discovery();

    private static final String ENTRY = "{\"id\":\"s-5\",\"addr\":\"127.0.0.1:9\",\"state\":\"SERVING\"}";

    /** Kind and number of entries of each list from discovery; kind FAILED for each failure. */
    final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();

    /** Age of the endpoint of each list entry as passed to the decision module, in microseconds. */
    final BlockingQueue<Long> agesUs = new LinkedBlockingQueue<>();

    /** Whether lists and failures are forwarded to the balancer, which then decides when to call again. */
    volatile boolean forwardsToBalancer;

    XnioEventLoop loop;
    ServerSocket discovery;
    EndpointWatch watch;
    ProxyCore core;

    @BeforeEach
    void startWatch() throws IOException {
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"));
        Limits limits = Limits.forDescriptors(1024);
        discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        discovery.setSoTimeout(5000);
        loop = new XnioEventLoop(limits);
        loop.execute(() -> {
            core = new ProxyCore(
                    new SystemClock(),
                    limits,
                    config.settings(),
                    1,
                    loop,
                    NodeLog.silent(),
                    (settings, seed, now, actions) ->
                            new DelegatingBalancer(new Balancer(settings, seed, now, actions)) {
                                @Override
                                public void endpointsChanged(
                                        long at, EndpointListKind kind, List<EndpointInfo> entries) {
                                    if (kind != EndpointListKind.CACHED) {
                                        entries.forEach(entry -> agesUs.add(at - entry.startedUs()));
                                        notifications.add(kind + " " + entries.size());
                                    }
                                    if (forwardsToBalancer) {
                                        super.endpointsChanged(at, kind, entries);
                                    }
                                }
                            });
            watch = newWatch(limits);
            watch.watch();
        });
    }

    @AfterEach
    void stopLoop() throws IOException {
        loop.stop();
        discovery.close();
    }

    private EndpointWatch newWatch(Limits limits) {
        EndpointWatch created = new EndpointWatch(
                (InetSocketAddress) discovery.getLocalSocketAddress(),
                limits,
                loop,
                core,
                new SystemClock(),
                NodeLog.silent());
        created.startFromCachedList(new EndpointListUpdate(41, true, List.of()));
        return created;
    }

    /** Accepts the next connection of the watch; reads from it time out after 5 s. */
    Socket acceptConnection() throws IOException {
        Socket socket = discovery.accept();
        socket.setSoTimeout(5000);
        return socket;
    }

    /** Returns the next notification, or null if none arrives within 5 s. */
    String nextNotification() throws InterruptedException {
        return notifications.poll(5, TimeUnit.SECONDS);
    }

    /** Reads the head of a request and returns its first line. */
    static String readRequest(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String requestLine = in.readLine();
        while (!in.readLine().isEmpty()) {}
        return requestLine;
    }

    /** Sends a response with the given status and body. */
    static void respond(Socket socket, String status, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the JSON of a list with one entry. */
    static String listJson(int version, boolean full) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + ENTRY + "]}";
    }

    /** Replaces the watch by one with these timeouts and the default values otherwise. */
    EndpointWatch useTimeouts(
            double connectTimeoutMs, double watchWaitMs, double watchTimeoutMs, double responseTimeoutMs)
            throws Exception {
        return replaceWatch(Limits.forDescriptors(1024)
                .with(new DiscoveryLimits(
                        DEFAULTS.maxHeadBytes(),
                        DEFAULTS.maxBodyBytes(),
                        connectTimeoutMs,
                        2 * connectTimeoutMs,
                        watchWaitMs,
                        watchTimeoutMs,
                        2 * watchTimeoutMs,
                        2 * watchTimeoutMs,
                        responseTimeoutMs,
                        2 * responseTimeoutMs,
                        DEFAULTS.agentWaitMs(),
                        DEFAULTS.agentTimeoutMs(),
                        DEFAULTS.agentRetryDelayMs(),
                        DEFAULTS.agentPollIntervalMs(),
                        DEFAULTS.startTimeoutMs())));
    }

    private EndpointWatch replaceWatch(Limits limits) throws Exception {
        try (Socket first = acceptConnection()) {
            readRequest(first);
            loop.execute(watch::stop);
            assertEquals(-1, first.getInputStream().read());
        }
        BlockingQueue<EndpointWatch> replaced = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            watch = newWatch(limits);
            replaced.add(watch);
            watch.watch();
        });
        return replaced.poll(5, TimeUnit.SECONDS);
    }
}
