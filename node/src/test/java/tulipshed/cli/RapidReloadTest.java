package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.httpGet;
import static tulipshed.testing.LoopbackSockets.listen;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.testing.NodeConfigFile;
import tulipshed.time.SystemClock;

/**
 * Successive reloads that are faster than discovery's responses: discovery calls stay open without a response, except
 * for the first call of a starting node.
 */
@Timeout(60)
class RapidReloadTest {
    private static final int RELOADS = 10;
    private static final String NO_CHANGES = "{\"version\":1,\"full\":false,\"servers\":[]}";

    @TempDir
    private Path directory;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<ServerSocket> discoveries = new ArrayList<>();

    /** The calls to each discovery stub; a future completes when the node ends the connection. */
    private final List<List<Future<String>>> callsByDiscovery = new ArrayList<>();

    private Node node;

    @AfterEach
    void stop() throws IOException {
        for (ServerSocket discovery : discoveries) {
            discovery.close();
        }
        threads.shutdownNow();
    }

    private void openDiscoveries(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            ServerSocket discovery = listen(50);
            List<Future<String>> calls = new ArrayList<>();
            discoveries.add(discovery);
            callsByDiscovery.add(calls);
            threads.execute(() -> acceptCalls(discovery, calls));
        }
    }

    private void acceptCalls(ServerSocket discovery, List<Future<String>> calls) {
        try {
            while (true) {
                Socket call = discovery.accept();
                synchronized (calls) {
                    boolean isStartupCall = discovery == discoveries.get(0) && calls.isEmpty();
                    calls.add(threads.submit(() -> readToEnd(call, isStartupCall)));
                }
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    /**
     * Reads until the node ends the connection and returns the remaining text; the first call of a starting node is
     * answered.
     */
    private static String readToEnd(Socket call, boolean isStartupCall) throws IOException {
        try (call) {
            BufferedReader in = reader(call);
            if (isStartupCall) {
                while (!in.readLine().isEmpty()) {}
                send(call, "HTTP/1.1 200 OK\r\nContent-Length: " + NO_CHANGES.length() + "\r\n\r\n" + NO_CHANGES);
            }
            return in.lines().collect(Collectors.joining("\n"));
        } catch (UncheckedIOException | SocketException reset) {
            return "reset";
        }
    }

    private long openCalls(int discovery) {
        List<Future<String>> calls = callsByDiscovery.get(discovery);
        synchronized (calls) {
            return calls.stream().filter(call -> !call.isDone()).count();
        }
    }

    private long allOpenCalls() {
        return IntStream.range(0, discoveries.size()).mapToLong(this::openCalls).sum();
    }

    private NodeConfig config(int discoveryPort, String requestClass) throws IOException {
        Path file = NodeConfigFile.fromTemplate()
                .listenPort(0)
                .discoveryPort(discoveryPort)
                .replace("\"gate-status\"", "\"" + requestClass + "\"")
                .writeTo(directory);
        return NodeConfig.load(Map.of("PROXY_CONFIG", file.toString(), "PROXY_MANAGEMENT", "127.0.0.1:0"));
    }

    private void startNode(NodeConfig config) throws IOException {
        node = Node.start(NodeOptions.withoutHotRestart(
                config, OperatorsFile.EMPTY, Limits.forDescriptors(1024), new SystemClock(), NodeLog.silent()));
    }

    private String metrics() throws IOException {
        return httpGet(node.managementAddress().orElseThrow().getPort(), "/status/metrics");
    }

    private String uncheckedMetrics() {
        try {
            return metrics();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until a condition holds that the node fulfills asynchronously. */
    private static void await(String expectation, java.util.function.BooleanSupplier condition) {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, expectation);
            Thread.onSpinWait();
        }
    }

    @Test
    void everyReloadIsAppliedOrRejectedAndTheLastIsInEffect() throws Exception {
        openDiscoveries(RELOADS + 1);
        startNode(config(discoveries.get(0).getLocalPort(), "gate-status"));
        await("the first call", () -> openCalls(0) == 1);
        List<NodeConfig> configs = new ArrayList<>();
        for (int i = 1; i <= RELOADS; i++) {
            configs.add(config(discoveries.get(i).getLocalPort(), "gate-" + i));
        }
        // Every fourth file is read while it is incomplete.
        int[] reads = new int[1];
        ConfigurationReloader reloader = new ConfigurationReloader(
                () -> {
                    int read = reads[0]++;
                    if (read % 4 == 2) {
                        throw new MalformedInputException("incomplete file");
                    }
                    return configs.get(read);
                },
                config -> OperatorsFile.EMPTY);
        reloader.nodeStarted(node);
        List<Future<?>> signals = new ArrayList<>();
        for (int i = 0; i < RELOADS; i++) {
            signals.add(threads.submit(reloader::reload));
        }
        for (Future<?> signal : signals) {
            signal.get(10, TimeUnit.SECONDS);
        }
        // A reload takes effect on the event loop some time after its signal was handled.
        await(
                "eight applied, two rejected",
                () -> uncheckedMetrics().contains("\"reload_success\":8,\"reload_failure\":2"));
        String metrics = metrics();
        assertTrue(metrics.contains("\"gate-10\":{\"success\":0"), "the last one is in effect: " + metrics);
        await("one call, at the last address", () -> openCalls(RELOADS) == 1 && allOpenCalls() == 1);
        for (List<Future<String>> calls : callsByDiscovery) {
            assertTrue(calls.size() <= 1, "at most one call per address");
        }
    }

    /** The size of all configurations together is many times the allowed growth. */
    @Test
    void memoryDoesNotGrowOverManyReloads() throws Exception {
        openDiscoveries(2);
        startNode(config(discoveries.get(0).getLocalPort(), "gate-status"));
        reloadManyTimes(20);
        long before = usedBytesAfterCollection();
        reloadManyTimes(400);
        long grown = usedBytesAfterCollection() - before;
        assertTrue(grown < 8_000_000, grown + " bytes more after 400 reloads");
        await("one call", () -> allOpenCalls() == 1);
        assertEquals(1, allOpenCalls());
    }

    private NodeConfig largeConfig(int discoveryPort) throws IOException {
        String entries = IntStream.range(2, 202)
                .mapToObj(i ->
                        "{\"id\":\"s-" + i + "\",\"addr\":\"127.0.0.1:18081\",\"zone\":\"decin\",\"kind\":\"std-2c\","
                                + "\"cell\":0,\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}")
                .collect(Collectors.joining(","));
        Path file = NodeConfigFile.fromTemplate()
                .listenPort(0)
                .discoveryPort(discoveryPort)
                .replace("\"servers\": [", "\"servers\": [" + entries + ",")
                .writeTo(directory);
        return NodeConfig.load(Map.of("PROXY_CONFIG", file.toString(), "PROXY_MANAGEMENT", "127.0.0.1:0"));
    }

    private void reloadManyTimes(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            int discoveryPort = discoveries.get(i % discoveries.size()).getLocalPort();
            node.reload(largeConfig(discoveryPort), OperatorsFile.EMPTY);
        }
        CompletableFuture<Long> applied = CompletableFuture.supplyAsync(node::servingEndpointCount, threads);
        applied.get(10, TimeUnit.SECONDS);
    }

    private static long usedBytesAfterCollection() {
        Runtime runtime = Runtime.getRuntime();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
        }
        return least;
    }
}
