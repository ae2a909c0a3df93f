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
import tulipshed.link.XnioLoop;
import tulipshed.testing.ModuleDelegate;
import tulipshed.time.SystemClock;
import tulipshed.transaction.TransactionCore;

/** The watch against a stand-in discovery that answers as each test says. */
class WatchTest {
    private static final String ENTRY = "{\"id\":\"s-5\",\"addr\":\"127.0.0.1:9\",\"state\":\"SERVING\"}";
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private XnioLoop loop;
    private ServerSocket discovery;
    private Watch watch;

    @BeforeEach
    void start() throws IOException {
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"));
        Limits limits = Limits.forDescriptors(1024);
        discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        discovery.setSoTimeout(5000);
        loop = new XnioLoop(limits);
        loop.afterGathering(() -> {
            TransactionCore core = new TransactionCore(new SystemClock(), limits, config.settings(), 1, loop, l -> { },
                    (settings, seed, now, actions) -> new ModuleDelegate(new Balancer(settings, seed, now, actions)) {
                        @Override
                        public void servers(long at, ListKind kind, List<ServerEntry> entries) {
                            told.add(kind + " " + entries.size());
                        }
                    });
            watch = new Watch((InetSocketAddress) discovery.getLocalSocketAddress(), limits, loop, core, 41, l -> { });
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
        loop.afterGathering(() -> watch.pushed(true));
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
        loop.afterGathering(() -> watch.pushed(true));
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
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String first = in.readLine();
        while (!in.readLine().isEmpty()) { }
        return first;
    }

    private static void answer(Socket socket, String status, String body) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
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
        loop.afterGathering(watch::catchUp);
        try (Socket socket = discovery.accept()) {
            assertTrue(call(socket).startsWith("GET /discovery/hosts?index=41&wait=0 "));
            answer(socket, "200 OK", list(42, false));
            assertEquals("CHANGES 1", news());
            assertTrue(call(socket).startsWith("GET /discovery/hosts?index=42&wait=10000 "));
        }
    }

    /** Without this a node that has handed over its clients would stay for its watch alone. */
    @Test
    void aWatchThatIsStoppedHangsUpAndAsksNothingMore() throws Exception {
        try (Socket socket = discovery.accept()) {
            call(socket);
            loop.afterGathering(watch::stop);
            loop.afterGathering(watch::watch);
            assertEquals(-1, socket.getInputStream().read());
            loop.afterGathering(() -> told.add("open " + watch.open()));
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
            loop.afterGathering(watch::watch);
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
            socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + list(42, true))
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
            loop.afterGathering(() -> watch.move(to));
            loop.afterGathering(() -> watch.move(to));
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
        try (Socket old = discovery.accept(); ServerSocket elsewhere =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            call(old);
            answer(old, "503 Service Unavailable", "");
            assertEquals("FAILED 0", news());
            elsewhere.setSoTimeout(5000);
            loop.afterGathering(() -> watch.move((InetSocketAddress) elsewhere.getLocalSocketAddress()));
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", call(now));
                answer(now, "503 Service Unavailable", "");
                assertEquals("FAILED 0", news());
            }
            loop.afterGathering(watch::watch);
            try (Socket now = elsewhere.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", call(now), "still the whole list");
            }
        }
    }
}
