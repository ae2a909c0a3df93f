package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.listen;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.yaml.snakeyaml.Yaml;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.limits.LineProtocolLimits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.testing.NodeConfigFile;
import tulipshed.time.SystemClock;

/** A node in the test's process: metrics, graceful shutdown, and admission when descriptors run out. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class NodeLifecycleTest {
    private static final String OPEN = "OPEN ID k c=slot-board,t=melnik-terminal,d=4000\r\n";

    @TempDir
    private Path directory;

    private final List<String> log = new CopyOnWriteArrayList<>();
    private int nextId;
    private int deadlineWholeSeconds = 4;
    private ServerSocket endpoint;
    private Node node;

    @BeforeEach
    void openEndpoint() throws IOException {
        endpoint = listen(50);
    }

    @AfterEach
    void closeEndpoint() throws IOException {
        endpoint.close();
    }

    private void startNode(int descriptors) throws IOException {
        startNode(descriptors, OperatorsFile.EMPTY);
    }

    private void startNode(int descriptors, OperatorsFile operators) throws IOException {
        startNode(Limits.forDescriptors(descriptors), operators);
    }

    private void startNode(Limits limits, OperatorsFile operators) throws IOException {
        node = Node.start(NodeOptions.withoutHotRestart(
                loadConfig(), operators, limits, new SystemClock(), NodeLog.to(log::add)));
    }

    private NodeConfig loadConfig() throws IOException {
        Path config = NodeConfigFile.fromTemplate()
                .listenPort(0)
                .endpointPort(endpoint.getLocalPort())
                .replaceAll("(\"HardLimitS\": )[34]", "$1" + deadlineWholeSeconds)
                .writeTo(directory);
        return NodeConfig.load(Map.of("PROXY_CONFIG", config.toString(), "PROXY_MANAGEMENT", "127.0.0.1:0"));
    }

    private Socket connectClient(String firstLines) throws IOException {
        Socket socket = connect(node.address());
        send(socket, firstLines.replace("ID", "9b" + nextId++));
        return socket;
    }

    private Socket acceptUpstream() throws IOException {
        Socket server = endpoint.accept();
        assertTrue(reader(server).readLine().startsWith("OPEN"));
        send(server, "UP r\r\n");
        return server;
    }

    /** Returns the management server's response with headers and body. */
    private String requestManagement(String request) throws IOException {
        try (Socket client = connect(node.managementAddress().orElseThrow())) {
            client.setSoTimeout(1000);
            send(client, request + " HTTP/1.1\r\nHost: n0\r\n\r\n");
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void idleNodeReportsItselfReadyAndAllMetrics() throws Exception {
        startNode(1024);
        assertTrue(requestManagement("GET /status").startsWith("HTTP/1.1 200 "));
        assertTrue(requestManagement("GET /status/metrics")
                .endsWith("{\"replies\":{"
                        + "\"slot-board\":{\"success\":0,\"overload\":0,\"error\":0},"
                        + "\"gate-status\":{\"success\":0,\"overload\":0,\"error\":0},"
                        + "\"slot-booking\":{\"success\":0,\"overload\":0,\"error\":0}},"
                        + "\"concurrent\":0,\"dispatches\":0,\"targets\":1,\"targets_disabled\":0,"
                        + "\"reload_success\":0,\"reload_failure\":0}"));
    }

    @Test
    void metricsAreThoseOfTheInterfaceDescription() throws Exception {
        startNode(1024);
        String metrics = requestManagement("GET /status/metrics");
        Map<String, Object> described = new Yaml().load(Files.readString(Path.of("../docs/openapi-management.yaml")));
        assertTrue(
                described
                        .toString()
                        .contains("required=["
                                + String.join(
                                        ", ",
                                        JsonValues.object(metrics.substring(metrics.indexOf('{'))
                                                        .getBytes(StandardCharsets.US_ASCII))
                                                .keySet())
                                + "]"),
                "the description names all metrics");
    }

    @Test
    void reportsNotReadyAndItsMetricsDuringShutdown() throws Exception {
        startNode(1024);
        try (Socket client = connectClient(OPEN);
                Socket upstream = acceptUpstream()) {
            assertEquals("UP r", reader(client).readLine());
            String metrics = requestManagement("GET /status/metrics");
            assertTrue(metrics.contains("\"slot-board\":{\"success\":1,\"overload\":0,\"error\":0}"), metrics);
            assertTrue(metrics.contains("\"concurrent\":1,\"dispatches\":1,"), metrics);
            Thread shutdown = new Thread(node::shutDown);
            shutdown.start();
            while (!node.isShuttingDown()) {
                Thread.onSpinWait();
            }
            assertTrue(requestManagement("GET /status").startsWith("HTTP/1.1 503 "), "from the signal on");
            assertTrue(requestManagement("GET /status/metrics").contains("\"concurrent\":1,"));
            assertEquals("MOVE", reader(client).readLine());
            shutdown.join(5000);
        }
    }

    /** The descriptors of clients and those of the management server are reserved separately. */
    @Test
    void managementServerRespondsWithoutDescriptorsForClients() throws IOException {
        startNode(64 + 32 + 4);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            clients.add(connectClient(OPEN));
            clients.add(acceptUpstream());
        }
        assertTrue(requestManagement("GET /status").startsWith("HTTP/1.1 200 "));
        assertTrue(requestManagement("GET /status/metrics").contains("\"concurrent\":2,"));
        for (Socket client : clients) {
            client.close();
        }
    }

    @Test
    void shutdownAcceptsLateClientsRespondsToAllAndMigratesEstablishedOnes() throws Exception {
        startNode(1024);
        try (Socket established = connectClient(OPEN);
                Socket first = acceptUpstream()) {
            BufferedReader establishedIn = reader(established);
            assertEquals("UP r", establishedIn.readLine());
            Thread shutdown = new Thread(node::shutDown);
            shutdown.start();
            while (!node.isShuttingDown()) {
                Thread.onSpinWait();
            }
            try (Socket late = connectClient("PING\r\n" + OPEN);
                    Socket second = acceptUpstream();
                    Socket pending = connectClient(OPEN);
                    Socket unresponsive = endpoint.accept()) {
                BufferedReader lateIn = reader(late);
                assertEquals("UP r", lateIn.readLine(), "accepted, without a reply to the preceding ping");
                long startNs = System.nanoTime();
                assertEquals("MOVE", establishedIn.readLine());
                // Another node that was restarted just before may not serve yet: a client that reconnects early finds
                // no node.
                assertTrue(System.nanoTime() - startNs > 1_000_000_000L, "served until migration has to begin");
                assertNull(establishedIn.readLine());
                assertEquals("MOVE", lateIn.readLine());
                assertTrue(reader(pending).readLine().startsWith("BUSY"), "a response is pending until the end");
                shutdown.join(5000);
                assertFalse(shutdown.isAlive());
            }
        }
    }

    /**
     * Guards against idle connections that the exit of the process closes without a response, even if a request is in
     * flight.
     */
    @Test
    void shutdownRejectsClientsThatHaveNotOpenedARequest() throws IOException {
        deadlineWholeSeconds = 1;
        Limits defaults = Limits.forDescriptors(1024);
        startNode(
                defaults.with(new LineProtocolLimits(
                        defaults.lineProtocol().maxLineBytes(),
                        60_000,
                        defaults.lineProtocol().maxPings(),
                        defaults.lineProtocol().maxClientTimeoutMs(),
                        defaults.lineProtocol().protocolErrorLogMs(),
                        defaults.lineProtocol().maxRedials(),
                        defaults.lineProtocol().firstRedialPauseMs(),
                        defaults.lineProtocol().executedIdRetentionMs(),
                        defaults.lineProtocol().maxExecutedIds())),
                OperatorsFile.EMPTY);
        try (Socket idle = connectClient("PING\r\n");
                Socket incomplete = connectClient("OPEN ha")) {
            BufferedReader in = reader(idle);
            assertEquals("PONG", in.readLine());
            node.shutDown();
            for (BufferedReader each : List.of(in, reader(incomplete))) {
                assertTrue(each.readLine().matches("BUSY [0-9]+"));
                assertNull(each.readLine());
            }
        }
    }

    /** SIGKILL follows 0.7 s after the longest deadline, which the settings may make shorter than the default. */
    @Test
    void shutdownIsShorterWithShorterDeadlines() throws IOException {
        deadlineWholeSeconds = 1;
        startNode(1024);
        try (Socket established = connectClient(OPEN);
                Socket server = acceptUpstream()) {
            assertEquals("UP r", reader(established).readLine());
            long startNs = System.nanoTime();
            node.shutDown();
            // The deadlines are 1.0 to 1.8 s here.
            assertTrue(System.nanoTime() - startNs < 2_500_000_000L);
            assertEquals("MOVE", reader(established).readLine());
        }
    }

    /**
     * Signals that arrive together are handled in any order, so the supervisor may send SIGKILL by the deadlines from
     * before or after the reload.
     */
    @Test
    void reloadThatCrossesTheSignalOrFollowsItDoesNotLengthenTheShutdown() throws Exception {
        for (boolean reloadFirst : new boolean[] {true, false}) {
            deadlineWholeSeconds = 1;
            startNode(1024);
            deadlineWholeSeconds = 4;
            NodeConfig longer = loadConfig();
            long startNs = System.nanoTime();
            if (reloadFirst) {
                node.reload(longer, OperatorsFile.EMPTY);
                node.shutDown();
            } else {
                Thread shutdown = new Thread(node::shutDown);
                shutdown.start();
                while (!node.isShuttingDown()) {
                    Thread.onSpinWait();
                }
                node.reload(longer, OperatorsFile.EMPTY);
                shutdown.join();
            }
            // The longest deadline was 1.8 s; with the new settings the shutdown would take at least 3.2 s.
            assertTrue(System.nanoTime() - startNs < 2_500_000_000L, "the reload first: " + reloadFirst);
            assertTrue(log.stream().anyMatch(line -> line.startsWith("INFO node: configuration reloaded")));
            log.clear();
        }
    }

    @Test
    void quicFrontendListensOnlyWhereTheOperatorsFileConfiguresIt() throws IOException {
        Path file = directory.resolve("tulipshed.sexp");
        Files.writeString(
                file, Files.readString(Path.of("../example/tulipshed.sexp")).replace(":4433", ":0"));
        var names = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                .nameIndex();
        startNode(1024, OperatorsFile.load(file, names));
        assertTrue(
                log.stream().anyMatch(line -> line.startsWith("INFO node: QUIC frontend listens on /127.0.0.1:")),
                log.toString());
        node.shutDown();
        log.clear();
        startNode(1024, OperatorsFile.load(Path.of("../deploy/tulipshed.sexp"), names));
        assertFalse(log.stream().anyMatch(line -> line.contains("QUIC")), log.toString());
    }

    private String startFailure(OperatorsFile operators, String managementAddress) throws IOException {
        Path config = NodeConfigFile.fromTemplate().listenPort(0).writeTo(directory);
        NodeConfig loaded =
                NodeConfig.load(Map.of("PROXY_CONFIG", config.toString(), "PROXY_MANAGEMENT", managementAddress));
        return assertThrows(
                        MalformedInputException.class,
                        () -> Node.start(NodeOptions.withoutHotRestart(
                                loaded, operators, Limits.forDescriptors(1024), new SystemClock(), NodeLog.silent())))
                .getMessage();
    }

    /** Guards against a message that misleads operators into looking for another user of the client address. */
    @Test
    void addressThatCannotBeBoundIsNamed() throws IOException {
        String taken = ":" + endpoint.getLocalPort();
        String management = startFailure(OperatorsFile.EMPTY, "127.0.0.1" + taken);
        assertTrue(management.startsWith("management server cannot listen on /127.0.0.1" + taken + ": "), management);
        try (DatagramSocket udp = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            String port = ":" + udp.getLocalPort();
            Path file = directory.resolve("tulipshed.sexp");
            Files.writeString(
                    file, Files.readString(Path.of("../example/tulipshed.sexp")).replace(":4433", port));
            var names = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                    .nameIndex();
            String quic = startFailure(OperatorsFile.load(file, names), "127.0.0.1:0");
            assertTrue(quic.startsWith("QUIC frontend cannot listen on /127.0.0.1" + port + ": "), quic);
        }
    }

    /**
     * Guards against a node at its descriptor limit that accepts clients it cannot connect upstream, or accepts none.
     */
    @Test
    void rejectsClientsWithoutDescriptorsAndRecovers() throws IOException {
        startNode(64 + 32 + 4);
        try (Socket client = connectClient(OPEN);
                Socket upstream = acceptUpstream()) {
            assertEquals("UP r", reader(client).readLine());
            Socket secondClient = connectClient(OPEN);
            Socket secondUpstream = acceptUpstream();
            assertEquals("UP r", reader(secondClient).readLine());
            try (Socket thirdClient = connectClient(OPEN)) {
                BufferedReader in = reader(thirdClient);
                assertTrue(in.readLine().matches("BUSY [0-9]+"), "with a Retry-After time");
                assertNull(in.readLine());
            }
            secondUpstream.close();
            assertNull(reader(secondClient).readLine());
            secondClient.close();
            assertEquals("UP r", retryUntilServed());
        }
    }

    /** Guards against hundreds of silent clients that take all descriptors, so that the node rejects all others. */
    @Test
    void evictsSilentClientsForOthers() throws IOException {
        startNode(64 + 32 + 16);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(connectClient(i % 2 == 0 ? "" : "frob\r\n"));
        }
        for (int i = 0; i < 3; i++) {
            try (Socket one = connectClient(OPEN);
                    Socket server = acceptUpstream()) {
                assertEquals("UP r", reader(one).readLine());
            }
        }
        String first = reader(silent.get(0)).readLine();
        assertTrue(first != null && first.matches("BUSY [0-9]+"), first);
        for (Socket client : silent) {
            client.close();
        }
    }

    /** Retries until the node has noticed that connections were closed. */
    private String retryUntilServed() throws IOException {
        while (true) {
            Socket socket = connectClient(OPEN);
            endpoint.setSoTimeout(200);
            try (Socket server = acceptUpstream()) {
                return reader(socket).readLine();
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
            }
        }
    }
}
