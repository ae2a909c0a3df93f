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
class WatchTest {
    private static final String ENTRY = "{\"id\":\"s-5\",\"addr\":\"127.0.0.1:9\",\"state\":\"SERVING\"}";
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private XnioEventLoop loop;
    private ServerSocket discovery;
    private EndpointWatch watch;
    private ProxyCore core;

    @BeforeEach
    void start() throws IOException {
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
                                    told.add(kind + " " + entries.size());
                                }
                            });
            watch = new EndpointWatch(
                    (InetSocketAddress) discovery.getLocalSocketAddress(), limits, loop, core, 41, NodeLog.silent());
            watch.watch();
        });
    }

    /** The next call that the watch makes by itself, after the first, which the module asked for, has failed. */
    private Socket nextCall() throws IOException {
        Socket socket = discovery.accept();
        socket.setSoTimeout(5000);
        return socket;
    }

    /** Seen at the second site: nobody asked the agent, so the list of the start was the only one that the node ever had. */
    @Test
    void anAgentIsWatchedByItselfAndAskedAgainAfterEachFailure() throws Exception {
        nextCall().close();
        assertEquals("FAILED 0", news());
        loop.execute(() -> watch.setPushed(true));
        // It resets, ends without an answer, answers with an error, and says nothing at all.
        try (Socket socket = nextCall()) {
            assertTrue(call(socket).startsWith("GET /discovery/hosts?index=41&wait=1000 "));
            socket.setSoLinger(true, 0);
        }
        assertEquals("FAILED 0", news());
        try (Socket socket = nextCall()) {
            call(socket);
        }
        assertEquals("FAILED 0", news());
        try (Socket socket = nextCall()) {
            call(socket);
            answer(socket, "503 Service Unavailable", "");
            assertEquals("FAILED 0", news());
        }
        try (Socket silent = nextCall()) {
            call(silent);
            assertEquals("FAILED 0", news(), "within the time in which a drain has to be known");
        }
        try (Socket socket = nextCall()) {
            call(socket);
            answer(socket, "200 OK", list(42, true));
            assertEquals("COMPLETE 1", news());
            assertTrue(call(socket).contains("index=42&"));
        }
    }

    /** Agents may answer at once although nothing is new; the watch must neither spin nor pause for 200 ms. */
    @Test
    void anAgentThatHasNothingNewIsNotAskedInALoop() throws Exception {
        nextCall().close();
        assertEquals("FAILED 0", news());
        loop.execute(() -> watch.setPushed(true));
        try (Socket socket = nextCall()) {
            call(socket);
            long began = System.nanoTime();
            int calls = 20;
            for (int i = 0; i < calls; i++) {
                answer(socket, "200 OK", "{\"version\":41,\"full\":false,\"servers\":[]}");
                assertEquals("CHANGES 0", news());
                call(socket);
            }
            assertTrue((System.nanoTime() - began) / 1e6 >= calls * 90.0, "calls without a pause");
        }
    }

    @AfterEach
    void stop() throws IOException {
        loop.stop();
        discovery.close();
    }

    private static String call(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String first = in.readLine();
        while (!in.readLine().isEmpty()) {}
        return first;
    }

    private static void answer(Socket socket, String status, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static String list(int version, boolean full) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + ENTRY + "]}";
    }

    private String news() throws InterruptedException {
        return told.poll(5, TimeUnit.SECONDS);
    }

    @Test
    void eachAnswerIsToldAndTheNextCallFollowsOnTheSameConnection() throws Exception {
        try (Socket socket = discovery.accept()) {
            assertTrue(call(socket).startsWith("GET /discovery/hosts?index=41&wait="));
            answer(socket, "200 OK", list(42, true));
            assertEquals("COMPLETE 1", news());
            assertTrue(call(socket).contains("index=42&"));
            answer(socket, "200 OK", list(43, false));
            assertEquals("CHANGES 1", news());
            assertTrue(call(socket).contains("index=43&"));
        }
        assertEquals("FAILED 0", news());
    }

    /** Without this a process that takes over would wait for the next news before it knows the last. */
    @Test
    void catchingUpDoesNotWaitForNews() throws Exception {
        try (Socket socket = discovery.accept()) {
            call(socket);
            answer(socket, "503 Service Unavailable", "");
            assertEquals("FAILED 0", news());
        }
        loop.execute(watch::catchUp);
        try (Socket socket = discovery.accept()) {
            assertTrue(call(socket).startsWith("GET /discovery/hosts?index=41&wait=0 "));
            answer(socket, "200 OK", list(42, false));
            assertEquals("CHANGES 1", news());
            assertTrue(call(socket).startsWith("GET /discovery/hosts?index=42&wait=2500 "));
        }
    }

    /** Without this a node that has handed over its clients would stay for its watch alone. */
    @Test
    void aWatchThatIsStoppedHangsUpAndAsksNothingMore() throws Exception {
        try (Socket socket = discovery.accept()) {
            call(socket);
            loop.execute(watch::stop);
            loop.execute(watch::watch);
            assertEquals(-1, socket.getInputStream().read());
            loop.execute(() -> told.add("open " + watch.isConnected()));
            assertEquals("open false", news(), "and no failure is told");
        }
    }

    /** A failed call is told once, and nothing is asked again until the module says so. */
    @Test
    void failuresAreToldAndWaitForTheModule() throws Exception {
        for (String wrong : List.of("503 Service Unavailable|", "200 OK|{", "200 OK|{\"version\":1}")) {
            try (Socket socket = discovery.accept()) {
                call(socket);
                answer(socket, wrong.substring(0, wrong.indexOf('|')), wrong.substring(wrong.indexOf('|') + 1));
                assertEquals("FAILED 0", news(), wrong);
                assertEquals(-1, socket.getInputStream().read(), "hung up without another call");
            }
            loop.execute(watch::watch);
        }
        try (Socket socket = discovery.accept()) {
            call(socket);
            socket.setSoLinger(true, 0);
        }
        assertEquals("FAILED 0", news());
        assertTrue(told.isEmpty());
    }

    @Test
    void aConnectionEndedAfterItsAnswerIsOpenedAnew() throws Exception {
        try (Socket socket = discovery.accept()) {
            call(socket);
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + list(42, true))
                            .getBytes(StandardCharsets.US_ASCII));
        }
        assertEquals("COMPLETE 1", news());
        try (Socket socket = discovery.accept()) {
            assertTrue(call(socket).contains("index=42&"));
        }
    }

    /** Without this a reload would go on with what the old discovery says, or ask the new one for its changes only. */
    @Test
    void aMoveAsksTheNewAddressForTheWholeListAndPassesOverTheOldOne() throws Exception {
        try (ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Socket old = discovery.accept()) {
            elsewhere.setSoTimeout(5000);
            call(old);
            InetSocketAddress to = (InetSocketAddress) elsewhere.getLocalSocketAddress();
            loop.execute(() -> watch.setDiscoveryAddress(to));
            loop.execute(() -> watch.setDiscoveryAddress(to));
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", call(now));
                answer(old, "200 OK", list(99, true));
                assertEquals(-1, old.getInputStream().read(), "the old call is given up");
                answer(now, "200 OK", list(7, true));
                assertEquals("COMPLETE 1", news());
                assertTrue(call(now).contains("index=7&"), "one call, and the new one's versions");
                assertTrue(told.isEmpty(), "nothing of the old one is told, nor its end as a failure");
            }
        }
    }

    @Test
    void aMoveFromAnAddressThatDoesNotAnswerNeedsNoWordFromTheModule() throws Exception {
        try (Socket old = discovery.accept();
                ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            call(old);
            answer(old, "503 Service Unavailable", "");
            assertEquals("FAILED 0", news());
            elsewhere.setSoTimeout(5000);
            loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) elsewhere.getLocalSocketAddress()));
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", call(now));
                answer(now, "503 Service Unavailable", "");
                assertEquals("FAILED 0", news());
            }
            loop.execute(watch::watch);
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", call(now), "still the whole list");
            }
        }
    }

    // ---- Times of the steps of a call, and calls that cross ----

    private static final Limits.Discovery USUAL = Limits.forDescriptors(1024).discovery();

    /** A watch whose calls may take for ever but for these steps. */
    private EndpointWatch impatient(double dialMs, double watchWaitMs, double watchSilenceMs, double answerMs)
            throws Exception {
        return replaced(Limits.forDescriptors(1024)
                .with(new Limits.Discovery(
                        USUAL.headBytes(),
                        USUAL.bodyBytes(),
                        dialMs,
                        watchWaitMs,
                        watchSilenceMs,
                        answerMs,
                        USUAL.agentWaitMs(),
                        USUAL.agentTimeoutMs(),
                        USUAL.agentRetryDelayMs(),
                        USUAL.agentPollIntervalMs())));
    }

    private EndpointWatch replaced(Limits limits) throws Exception {
        try (Socket first = nextCall()) {
            call(first);
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
    void aWatchThatFallsSilentIsOpenedAnewAtOnceAndAsksWithoutWaiting() throws Exception {
        impatient(60_000, 100, 100, 60_000);
        try (Socket silent = nextCall()) {
            assertTrue(call(silent).startsWith("GET /discovery/hosts?index=41&wait=100 "));
            try (Socket anew = nextCall()) {
                assertTrue(call(anew).startsWith("GET /discovery/hosts?index=41&wait=0 "));
                assertEquals(-1, silent.getInputStream().read(), "the silent one is given up");
                assertTrue(told.isEmpty(), "the module need not say when");
                answer(anew, "200 OK", list(42, false));
                assertEquals("CHANGES 1", news());
                assertTrue(call(anew).startsWith("GET /discovery/hosts?index=42&wait=100 "));
            }
        }
    }

    /** Where the one opened anew says nothing either, discovery is in trouble, and the module spreads the calls. */
    @Test
    void silenceTwiceIsAFailureThatTheModuleHearsOf() throws Exception {
        impatient(60_000, 100, 100, 60_000);
        try (Socket silent = nextCall();
                Socket anew = nextCall()) {
            call(silent);
            call(anew);
            assertEquals("FAILED 0", news());
            assertEquals(-1, anew.getInputStream().read(), "hung up");
            loop.execute(() -> told.add("open " + watch.isConnected()));
            assertEquals("open false", news(), "and not asked again");
        }
    }

    /** The whole call's time was the only one: a dial that hangs was noticed after 12 s. */
    @Test
    void aDialThatHangsIsGivenUpInItsOwnTime() throws Exception {
        EndpointWatch watch = impatient(200, 60_000, 60_000, 60_000);
        try (Socket out = nextCall();
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> waiting = ListenerBacklog.fill(full);
            loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) full.getLocalSocketAddress()));
            assertEquals("FAILED 0", news());
            for (Socket s : waiting) {
                s.close();
            }
        }
    }

    /** Half an answer, and one that drips: each byte used to be as good as an answer until 12 s were over. */
    @Test
    void anAnswerThatDoesNotEndIsGivenUpAndTheWatchOpenedAnew() throws Exception {
        impatient(60_000, 60_000, 60_000, 200);
        try (Socket half = nextCall()) {
            call(half);
            half.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{".getBytes(StandardCharsets.US_ASCII));
            try (Socket dripping = nextCall()) {
                assertTrue(call(dripping).contains("&wait=0 "));
                drip(dripping);
                assertEquals("FAILED 0", news(), "as it did not wait for news, the module is told");
            }
        }
    }

    /** A byte every few milliseconds, until the other end has had enough. */
    private static void drip(Socket to) throws IOException {
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
    void theTimesOfItsStepsFitIntoSixSeconds() {
        assertTrue(
                USUAL.watchWaitMs() + USUAL.watchTimeoutMs() + 2_000 <= 6_000,
                "reset or refused just before it is silent");
        assertTrue(
                USUAL.watchWaitMs() + USUAL.watchTimeoutMs() + USUAL.connectTimeoutMs() + USUAL.watchTimeoutMs()
                        <= 6_000,
                "silent");
        assertTrue(
                USUAL.connectTimeoutMs() + 2_000 + USUAL.connectTimeoutMs() + USUAL.watchTimeoutMs() <= 6_000,
                "a dial that hangs");
        assertTrue(
                USUAL.watchTimeoutMs() + USUAL.responseTimeoutMs() + 2_000 + USUAL.watchTimeoutMs() <= 6_000,
                "drips from late on");
    }

    /** A process that takes over asked only once the call that was out had its answer. */
    @Test
    void catchingUpDoesNotWaitForACallThatIsOut() throws Exception {
        try (Socket out = nextCall()) {
            call(out);
            loop.execute(watch::catchUp);
            try (Socket now = nextCall()) {
                assertTrue(call(now).startsWith("GET /discovery/hosts?index=41&wait=0 "));
                assertEquals(-1, out.getInputStream().read(), "given up for it");
                assertTrue(told.isEmpty());
            }
        }
    }

    @Test
    void changesThatLeadBackToAnOlderVersionAreFollowedByTheWholeList() throws Exception {
        try (Socket socket = nextCall()) {
            call(socket);
            answer(socket, "200 OK", list(7, false));
            assertEquals("CHANGES 1", news());
            assertEquals("GET /discovery/hosts HTTP/1.1", call(socket));
            answer(socket, "200 OK", list(8, true));
            assertEquals("COMPLETE 1", news());
            assertTrue(call(socket).contains("index=8&"));
        }
    }

    /** SIGHUP to another address beside SIGTERM. */
    @Test
    void aMoveAfterTheStopAsksNothing() throws Exception {
        try (Socket socket = nextCall();
                ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            call(socket);
            loop.execute(watch::stop);
            loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) elsewhere.getLocalSocketAddress()));
            loop.execute(() -> told.add("open " + watch.isConnected()));
            assertEquals("open false", news());
        }
    }

    /** What the answer to the old call says comes in the very turn of the move. */
    @Test
    void anAnswerThatComesWithTheMoveChangesNothing() throws Exception {
        try (Socket old = nextCall();
                ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            elsewhere.setSoTimeout(5000);
            call(old);
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
            answer(old, "200 OK", list(99, true));
            written.countDown();
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", call(now));
                assertTrue(told.isEmpty());
            }
        }
    }
}
