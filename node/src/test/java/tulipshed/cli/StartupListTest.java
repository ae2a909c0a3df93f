package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.listen;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.config.NodeConfig;
import tulipshed.limits.DiscoveryLimits;
import tulipshed.limits.Limits;
import tulipshed.limits.WarmupLimits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.testing.NodeConfigFile;
import tulipshed.time.Clock;
import tulipshed.time.SystemClock;

/** The endpoint list and the warm-up of a starting process, before it accepts clients. */
class StartupListTest {
    private static final int REQUESTS = 5;

    @TempDir
    private Path directory;

    private final ExecutorService executor = Executors.newSingleThreadExecutor();

    private Future<Node> start(int listenPort, int discoveryPort, int endpointPort) throws IOException {
        return start(listenPort, discoveryPort, endpointPort, longTimeoutLimits());
    }

    private Future<Node> start(int listenPort, int discoveryPort, int endpointPort, Limits limits) throws IOException {
        Path file = NodeConfigFile.fromTemplate()
                .listenPort(listenPort)
                .endpointPort(endpointPort)
                .discoveryPort(discoveryPort)
                .writeTo(directory);
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", file.toString()));
        return executor.submit(() -> Node.start(NodeOptions.withoutHotRestart(
                config, OperatorsFile.EMPTY, limits, new SystemClock(), NodeLog.silent())));
    }

    /** Returns limits with timeouts so long that even a slow machine waits for the list. */
    private static Limits longTimeoutLimits() {
        Limits limits = Limits.forDescriptors(1024);
        DiscoveryLimits defaults = limits.discovery();
        double longTimeoutMs = 60_000;
        return limits.with(new DiscoveryLimits(
                defaults.maxHeadBytes(),
                defaults.maxBodyBytes(),
                longTimeoutMs,
                longTimeoutMs,
                defaults.watchWaitMs(),
                longTimeoutMs,
                longTimeoutMs,
                longTimeoutMs,
                longTimeoutMs,
                defaults.agentWaitMs(),
                longTimeoutMs,
                longTimeoutMs,
                defaults.agentRetryDelayMs(),
                defaults.agentPollIntervalMs(),
                longTimeoutMs));
    }

    /**
     * Guards against a restarted node that uses its cached list and sends requests to endpoints removed long before.
     */
    @Test
    void processAsksForTheListBeforeItServes() throws Exception {
        int listenPort = freeTcpPort();
        try (ServerSocket discovery = listen(50);
                ServerSocket removed = listen(50);
                ServerSocket serving = listen(50)) {
            Future<Node> starting = start(listenPort, discovery.getLocalPort(), removed.getLocalPort());
            try (Socket call = discovery.accept()) {
                assertEquals(
                        "GET /discovery/hosts?index=1&wait=0 HTTP/1.1",
                        reader(call).readLine());
                assertThrows(
                        ConnectException.class, () -> connect(listenPort), "not listening before the list has arrived");
                respond(call, serving.getLocalPort());
                assertTrue(starting.get(10, TimeUnit.SECONDS) != null);
                for (int request = 0; request < REQUESTS; request++) {
                    assertServedBy(serving, listenPort, request);
                }
            }
            removed.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, removed::accept, "no request was sent to the removed endpoint");
        } finally {
            executor.shutdownNow();
        }
    }

    /** A node whose discovery is unreachable serves with its cached list. */
    @Test
    void processServesByItsCachedListWhereDiscoveryFails() throws Exception {
        int listenPort = freeTcpPort();
        try (ServerSocket cached = listen(50)) {
            start(listenPort, freeTcpPort(), cached.getLocalPort()).get(10, TimeUnit.SECONDS);
            assertServedBy(cached, listenPort, 0);
        } finally {
            executor.shutdownNow();
        }
    }

    @Test
    void processServesOnceItsWarmUpHasEnded() throws Exception {
        double timeoutMs = 500;
        Limits limits = longTimeoutLimits().with(new WarmupLimits(1, -1, 1, 0, timeoutMs));
        Clock clock = new SystemClock();
        try {
            double startMs = clock.nowMs();
            start(freeTcpPort(), freeTcpPort(), freeTcpPort(), limits).get(10, TimeUnit.SECONDS);
            assertTrue(clock.nowMs() - startMs >= timeoutMs);
        } finally {
            executor.shutdownNow();
        }
    }

    private static void respond(Socket call, int servingPort) throws IOException {
        String list = "{\"version\":9,\"full\":true,\"servers\":[{\"id\":\"s-2\",\"addr\":\"127.0.0.1:" + servingPort
                + "\",\"state\":\"SERVING\"}]}";
        send(call, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    private static void assertServedBy(ServerSocket endpoint, int listenPort, int request) throws IOException {
        try (Socket client = connect(listenPort)) {
            send(client, "OPEN r" + request + " k c=slot-board,t=melnik-terminal,d=4000\r\n");
            endpoint.setSoTimeout(5000);
            try (Socket connection = endpoint.accept()) {
                BufferedReader in = reader(connection);
                assertTrue(in.readLine().startsWith("OPEN"));
                send(connection, "UP r\r\n");
                assertEquals("UP r", reader(client).readLine());
            }
        }
    }
}
