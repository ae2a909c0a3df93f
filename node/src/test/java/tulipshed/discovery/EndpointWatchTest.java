package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import org.junit.jupiter.api.Test;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.ProxyCore;
import tulipshed.testing.DelegatingBalancer;
import tulipshed.testing.ListenerBacklog;
import tulipshed.time.SystemClock;
import tulipshed.transport.XnioEventLoop;

/** The watch against a stand-in discovery that answers as each test says. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class EndpointWatchTest {
    private static final String ENTRY = "{\"id\":\"s-5\",\"addr\":\"127.0.0.1:9\",\"state\":\"SERVING\"}";
    private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
    private XnioEventLoop loop;
    private ServerSocket discovery;
    private EndpointWatch watch;
    private ProxyCore core;

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
                                    notifications.add(kind + " " + entries.size());
                                }
                            });
            watch = new EndpointWatch(
                    (InetSocketAddress) discovery.getLocalSocketAddress(), limits, loop, core, 41, NodeLog.silent());
            watch.watch();
        });
    }

    /** The next call that the watch makes by itself, after the first, which the module asked for, has failed. */
    private Socket acceptConnection() throws IOException {
        Socket socket = discovery.accept();
        socket.setSoTimeout(5000);
        return socket;
    }

    /** Seen at the second site: nobody asked the agent, so the list of the start was the only one that the node ever had. */
    @Test
    void pollsAgentUnpromptedAndAgainAfterEachFailure() throws Exception {
        acceptConnection().close();
        assertEquals("FAILED 0", nextNotification());
        loop.execute(() -> watch.setPushed(true));
        // It resets, ends without an answer, answers with an error, and says nothing at all.
        try (Socket socket = acceptConnection()) {
            assertTrue(readRequest(socket).startsWith("GET /discovery/hosts?index=41&wait=1000 "));
            socket.setSoLinger(true, 0);
        }
        assertEquals("FAILED 0", nextNotification());
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
        }
        assertEquals("FAILED 0", nextNotification());
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
            respond(socket, "503 Service Unavailable", "");
            assertEquals("FAILED 0", nextNotification());
        }
        try (Socket silent = acceptConnection()) {
            readRequest(silent);
            assertEquals("FAILED 0", nextNotification(), "within the time in which a drain has to be known");
        }
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
            respond(socket, "200 OK", listJson(42, true));
            assertEquals("COMPLETE 1", nextNotification());
            assertTrue(readRequest(socket).contains("index=42&"));
        }
    }

    /** Agents may answer at once although nothing is new; the watch must neither spin nor pause for 200 ms. */
    @Test
    void pausesBetweenPollsOfAgentWithoutChanges() throws Exception {
        acceptConnection().close();
        assertEquals("FAILED 0", nextNotification());
        loop.execute(() -> watch.setPushed(true));
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
            long began = System.nanoTime();
            int calls = 20;
            for (int i = 0; i < calls; i++) {
                respond(socket, "200 OK", "{\"version\":41,\"full\":false,\"servers\":[]}");
                assertEquals("CHANGES 0", nextNotification());
                readRequest(socket);
            }
            assertTrue((System.nanoTime() - began) / 1e6 >= calls * 90.0, "calls without a pause");
        }
    }

    @AfterEach
    void stop() throws IOException {
        loop.stop();
        discovery.close();
    }

    private static String readRequest(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String first = in.readLine();
        while (!in.readLine().isEmpty()) {}
        return first;
    }

    private static void respond(Socket socket, String status, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static String listJson(int version, boolean full) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + ENTRY + "]}";
    }

    private String nextNotification() throws InterruptedException {
        return notifications.poll(5, TimeUnit.SECONDS);
    }

    @Test
    void deliversEachResponseAndCallsAgainOnSameConnection() throws Exception {
        try (Socket socket = discovery.accept()) {
            assertTrue(readRequest(socket).startsWith("GET /discovery/hosts?index=41&wait="));
            respond(socket, "200 OK", listJson(42, true));
            assertEquals("COMPLETE 1", nextNotification());
            assertTrue(readRequest(socket).contains("index=42&"));
            respond(socket, "200 OK", listJson(43, false));
            assertEquals("CHANGES 1", nextNotification());
            assertTrue(readRequest(socket).contains("index=43&"));
        }
        assertEquals("FAILED 0", nextNotification());
    }

    /** Without this a process that takes over would wait for the next news before it knows the last. */
    @Test
    void catchUpRequestsImmediateResponse() throws Exception {
        try (Socket socket = discovery.accept()) {
            readRequest(socket);
            respond(socket, "503 Service Unavailable", "");
            assertEquals("FAILED 0", nextNotification());
        }
        loop.execute(watch::catchUp);
        try (Socket socket = discovery.accept()) {
            assertTrue(readRequest(socket).startsWith("GET /discovery/hosts?index=41&wait=0 "));
            respond(socket, "200 OK", listJson(42, false));
            assertEquals("CHANGES 1", nextNotification());
            assertTrue(readRequest(socket).startsWith("GET /discovery/hosts?index=42&wait=2500 "));
        }
    }

    /** Without this a node that has handed over its clients would stay for its watch alone. */
    @Test
    void closesConnectionAndMakesNoCallAfterStop() throws Exception {
        try (Socket socket = discovery.accept()) {
            readRequest(socket);
            loop.execute(watch::stop);
            loop.execute(watch::watch);
            assertEquals(-1, socket.getInputStream().read());
            loop.execute(() -> notifications.add("open " + watch.isConnected()));
            assertEquals("open false", nextNotification(), "and no failure is told");
        }
    }

    /** A failed call is told once, and nothing is asked again until the module says so. */
    @Test
    void reportsEachFailureOnceAndWaitsForNextWatchRequest() throws Exception {
        for (String wrong : List.of("503 Service Unavailable|", "200 OK|{", "200 OK|{\"version\":1}")) {
            try (Socket socket = discovery.accept()) {
                readRequest(socket);
                respond(socket, wrong.substring(0, wrong.indexOf('|')), wrong.substring(wrong.indexOf('|') + 1));
                assertEquals("FAILED 0", nextNotification(), wrong);
                assertEquals(-1, socket.getInputStream().read(), "hung up without another call");
            }
            loop.execute(watch::watch);
        }
        try (Socket socket = discovery.accept()) {
            readRequest(socket);
            socket.setSoLinger(true, 0);
        }
        assertEquals("FAILED 0", nextNotification());
        assertTrue(notifications.isEmpty());
    }

    @Test
    void reconnectsAfterServerClosedConnection() throws Exception {
        try (Socket socket = discovery.accept()) {
            readRequest(socket);
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + listJson(42, true))
                            .getBytes(StandardCharsets.US_ASCII));
        }
        assertEquals("COMPLETE 1", nextNotification());
        try (Socket socket = discovery.accept()) {
            assertTrue(readRequest(socket).contains("index=42&"));
        }
    }

    /** Without this a reload would go on with what the old discovery says, or ask the new one for its changes only. */
    @Test
    void requestsFullListFromNewAddressAndIgnoresOldOne() throws Exception {
        try (ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Socket old = discovery.accept()) {
            elsewhere.setSoTimeout(5000);
            readRequest(old);
            InetSocketAddress to = (InetSocketAddress) elsewhere.getLocalSocketAddress();
            loop.execute(() -> watch.setDiscoveryAddress(to));
            loop.execute(() -> watch.setDiscoveryAddress(to));
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(now));
                respond(old, "200 OK", listJson(99, true));
                assertEquals(-1, old.getInputStream().read(), "the old call is given up");
                respond(now, "200 OK", listJson(7, true));
                assertEquals("COMPLETE 1", nextNotification());
                assertTrue(readRequest(now).contains("index=7&"), "one call, and the new one's versions");
                assertTrue(notifications.isEmpty(), "nothing of the old one is told, nor its end as a failure");
            }
        }
    }

    @Test
    void callsNewAddressUnpromptedAfterFailureOfOldOne() throws Exception {
        try (Socket old = discovery.accept();
                ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            readRequest(old);
            respond(old, "503 Service Unavailable", "");
            assertEquals("FAILED 0", nextNotification());
            elsewhere.setSoTimeout(5000);
            loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) elsewhere.getLocalSocketAddress()));
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(now));
                respond(now, "503 Service Unavailable", "");
                assertEquals("FAILED 0", nextNotification());
            }
            loop.execute(watch::watch);
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(now), "still the whole list");
            }
        }
    }

    // ---- Times of the steps of a call, and calls that cross ----

    private static final Limits.Discovery DEFAULTS = Limits.forDescriptors(1024).discovery();

    /** A watch whose calls may take for ever but for these steps. */
    private EndpointWatch useTimeouts(double dialMs, double watchWaitMs, double watchSilenceMs, double answerMs)
            throws Exception {
        return replaceWatch(Limits.forDescriptors(1024)
                .with(new Limits.Discovery(
                        DEFAULTS.headBytes(),
                        DEFAULTS.bodyBytes(),
                        dialMs,
                        watchWaitMs,
                        watchSilenceMs,
                        answerMs,
                        DEFAULTS.agentWaitMs(),
                        DEFAULTS.agentTimeoutMs(),
                        DEFAULTS.agentRetryDelayMs(),
                        DEFAULTS.agentPollIntervalMs())));
    }

    private EndpointWatch replaceWatch(Limits limits) throws Exception {
        try (Socket first = acceptConnection()) {
            readRequest(first);
            loop.execute(watch::stop);
            assertEquals(-1, first.getInputStream().read());
        }
        BlockingQueue<EndpointWatch> made = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            watch = new EndpointWatch(
                    (InetSocketAddress) discovery.getLocalSocketAddress(), limits, loop, core, 41, NodeLog.silent());
            made.add(watch);
            watch.watch();
        });
        return made.poll(5, TimeUnit.SECONDS);
    }

    /** Seen on calm+brink: silence was noticed after 12 s and the call repeated a second later, so drained members were used. */
    @Test
    void reopensSilentWatchAtOnceWithoutWaiting() throws Exception {
        useTimeouts(60_000, 100, 100, 60_000);
        try (Socket silent = acceptConnection()) {
            assertTrue(readRequest(silent).startsWith("GET /discovery/hosts?index=41&wait=100 "));
            try (Socket anew = acceptConnection()) {
                assertTrue(readRequest(anew).startsWith("GET /discovery/hosts?index=41&wait=0 "));
                assertEquals(-1, silent.getInputStream().read(), "the silent one is given up");
                assertTrue(notifications.isEmpty(), "the module need not say when");
                respond(anew, "200 OK", listJson(42, false));
                assertEquals("CHANGES 1", nextNotification());
                assertTrue(readRequest(anew).startsWith("GET /discovery/hosts?index=42&wait=100 "));
            }
        }
    }

    /** Where the one opened anew says nothing either, discovery is in trouble, and the module spreads the calls. */
    @Test
    void reportsFailureAfterSecondTimeoutInARow() throws Exception {
        useTimeouts(60_000, 100, 100, 60_000);
        try (Socket silent = acceptConnection();
                Socket anew = acceptConnection()) {
            readRequest(silent);
            readRequest(anew);
            assertEquals("FAILED 0", nextNotification());
            assertEquals(-1, anew.getInputStream().read(), "hung up");
            loop.execute(() -> notifications.add("open " + watch.isConnected()));
            assertEquals("open false", nextNotification(), "and not asked again");
        }
    }

    /** The whole call's time was the only one: a dial that hangs was noticed after 12 s. */
    @Test
    void abandonsConnectionAttemptAfterConnectTimeout() throws Exception {
        EndpointWatch watch = useTimeouts(200, 60_000, 60_000, 60_000);
        try (Socket out = acceptConnection();
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> waiting = ListenerBacklog.fill(full);
            loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) full.getLocalSocketAddress()));
            assertEquals("FAILED 0", nextNotification());
            for (Socket s : waiting) {
                s.close();
            }
        }
    }

    /** Half an answer, and one that drips: each byte used to be as good as an answer until 12 s were over. */
    @Test
    void reopensWatchAfterIncompleteResponse() throws Exception {
        useTimeouts(60_000, 60_000, 60_000, 200);
        try (Socket half = acceptConnection()) {
            readRequest(half);
            half.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{".getBytes(StandardCharsets.US_ASCII));
            try (Socket dripping = acceptConnection()) {
                assertTrue(readRequest(dripping).contains("&wait=0 "));
                sendSlowly(dripping);
                assertEquals("FAILED 0", nextNotification(), "as it did not wait for news, the module is told");
            }
        }
    }

    /** A byte every few milliseconds, until the other end has had enough. */
    private static void sendSlowly(Socket to) throws IOException {
        new Thread(() -> {
                    try {
                        for (byte b :
                                ("HTTP/1.1 200 OK\r\nX: " + "x".repeat(2000)).getBytes(StandardCharsets.US_ASCII)) {
                            to.getOutputStream().write(b);
                            Thread.sleep(5);
                        }
                    } catch (IOException | InterruptedException over) {
                        return;
                    }
                })
                .start();
    }

    /** The module's wait is under 2 s (BalancerTest): with these, a change is known within 6 s of any call's failure. */
    @Test
    void timeoutsOfAllStepsFitIntoSixSeconds() {
        assertTrue(
                DEFAULTS.watchWaitMs() + DEFAULTS.watchTimeoutMs() + 2_000 <= 6_000,
                "reset or refused just before it is silent");
        assertTrue(
                DEFAULTS.watchWaitMs()
                                + DEFAULTS.watchTimeoutMs()
                                + DEFAULTS.connectTimeoutMs()
                                + DEFAULTS.watchTimeoutMs()
                        <= 6_000,
                "silent");
        assertTrue(
                DEFAULTS.connectTimeoutMs() + 2_000 + DEFAULTS.connectTimeoutMs() + DEFAULTS.watchTimeoutMs() <= 6_000,
                "a dial that hangs");
        assertTrue(
                DEFAULTS.watchTimeoutMs() + DEFAULTS.responseTimeoutMs() + 2_000 + DEFAULTS.watchTimeoutMs() <= 6_000,
                "drips from late on");
    }

    /** A process that takes over asked only once the call that was out had its answer. */
    @Test
    void catchUpReplacesCallInProgress() throws Exception {
        try (Socket out = acceptConnection()) {
            readRequest(out);
            loop.execute(watch::catchUp);
            try (Socket now = acceptConnection()) {
                assertTrue(readRequest(now).startsWith("GET /discovery/hosts?index=41&wait=0 "));
                assertEquals(-1, out.getInputStream().read(), "given up for it");
                assertTrue(notifications.isEmpty());
            }
        }
    }

    @Test
    void requestsFullListAfterChangesToOlderVersion() throws Exception {
        try (Socket socket = acceptConnection()) {
            readRequest(socket);
            respond(socket, "200 OK", listJson(7, false));
            assertEquals("CHANGES 1", nextNotification());
            assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(socket));
            respond(socket, "200 OK", listJson(8, true));
            assertEquals("COMPLETE 1", nextNotification());
            assertTrue(readRequest(socket).contains("index=8&"));
        }
    }

    /** SIGHUP to another address beside SIGTERM. */
    @Test
    void makesNoCallWhenAddressChangesAfterStop() throws Exception {
        try (Socket socket = acceptConnection();
                ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            readRequest(socket);
            loop.execute(watch::stop);
            loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) elsewhere.getLocalSocketAddress()));
            loop.execute(() -> notifications.add("open " + watch.isConnected()));
            assertEquals("open false", nextNotification());
        }
    }

    /** What the answer to the old call says comes in the very turn of the move. */
    @Test
    void ignoresOldResponseReceivedDuringAddressChange() throws Exception {
        try (Socket old = acceptConnection();
                ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            elsewhere.setSoTimeout(5000);
            readRequest(old);
            java.util.concurrent.CountDownLatch held = new java.util.concurrent.CountDownLatch(1);
            java.util.concurrent.CountDownLatch written = new java.util.concurrent.CountDownLatch(1);
            loop.execute(() -> {
                held.countDown();
                try {
                    assertTrue(written.await(5, TimeUnit.SECONDS));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                watch.setDiscoveryAddress((InetSocketAddress) elsewhere.getLocalSocketAddress());
            });
            assertTrue(held.await(5, TimeUnit.SECONDS));
            respond(old, "200 OK", listJson(99, true));
            written.countDown();
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(now));
                assertTrue(notifications.isEmpty());
            }
        }
    }
}
