package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
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
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.time.SystemClock;

/** A whole node on loopback: how it leaves, and what it does when it has no descriptors left. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class NodeLifecycleTest {
    private static final String OPEN = "OPEN ID k c=slot-board,t=melnik-terminal,d=4000\r\n";

    @TempDir
    private Path folder;

    private final List<String> log = new CopyOnWriteArrayList<>();
    private int ids;
    private int longest = 4;
    private ServerSocket member;
    private Node node;

    @BeforeEach
    void start() throws IOException {
        member = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        member.close();
    }

    private void node(int descriptors) throws IOException {
        node(descriptors, OperatorsFile.EMPTY);
    }

    private void node(int descriptors, OperatorsFile operators) throws IOException {
        node(Limits.forDescriptors(descriptors), operators);
    }

    private void node(Limits limits, OperatorsFile operators) throws IOException {
        Path file = folder.resolve("node.json");
        Files.writeString(
                file,
                Files.readString(Path.of("src/test/resources/node.json"))
                        .replace(":18080", ":0")
                        .replace(":18081", ":" + member.getLocalPort())
                        .replaceAll("(\"HardLimitS\": )[34]", "$1" + longest));
        Map<String, String> environment = Map.of("PROXY_CONFIG", file.toString(), "PROXY_MANAGEMENT", "127.0.0.1:0");
        node = Node.start(NodeOptions.withoutHotRestart(
                NodeConfig.load(environment), operators, limits, new SystemClock(), NodeLog.to(log::add)));
    }

    private Socket client(String first) throws IOException {
        Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
        socket.setSoTimeout(5000);
        socket.getOutputStream().write(first.replace("ID", "9b" + ids++).getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private Socket serve() throws IOException {
        Socket server = member.accept();
        assertTrue(reader(server).readLine().startsWith("OPEN"));
        server.getOutputStream().write("UP r\r\n".getBytes(StandardCharsets.US_ASCII));
        return server;
    }

    /** What the second address answers, head and body. */
    private String call(String what) throws IOException {
        try (Socket staff = connect(node.managementAddress().orElseThrow())) {
            staff.setSoTimeout(1000);
            staff.getOutputStream().write((what + " HTTP/1.1\r\nHost: n0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(staff.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void theFiguresSayWhatTheNodeDoesAlsoWhileItLeaves() throws Exception {
        node(1024);
        assertTrue(call("GET /status").startsWith("HTTP/1.1 200 "));
        assertTrue(call("GET /status/metrics")
                .endsWith("{\"replies\":{"
                        + "\"slot-board\":{\"success\":0,\"overload\":0,\"error\":0},"
                        + "\"gate-status\":{\"success\":0,\"overload\":0,\"error\":0},"
                        + "\"slot-booking\":{\"success\":0,\"overload\":0,\"error\":0}},"
                        + "\"concurrent\":0,\"dispatches\":0,\"targets\":1,\"targets_disabled\":0,"
                        + "\"reload_success\":0,\"reload_failure\":0}"));
        try (Socket one = client(OPEN);
                Socket first = serve()) {
            assertEquals("UP r", reader(one).readLine());
            String figures = call("GET /status/metrics");
            Map<String, Object> described =
                    new Yaml().load(Files.readString(Path.of("../docs/openapi-management.yaml")));
            assertTrue(
                    described
                            .toString()
                            .contains("required=["
                                    + String.join(
                                            ", ",
                                            JsonValues.object(figures.substring(figures.indexOf('{'))
                                                            .getBytes(StandardCharsets.US_ASCII))
                                                    .keySet())
                                    + "]"),
                    "the description names all figures");
            assertTrue(figures.contains("\"slot-board\":{\"success\":1,\"overload\":0,\"error\":0}"), figures);
            assertTrue(figures.contains("\"concurrent\":1,\"dispatches\":1,"), figures);
            Thread leaving = new Thread(node::shutDown);
            leaving.start();
            while (!node.isShuttingDown()) {
                Thread.onSpinWait();
            }
            assertTrue(call("GET /status").startsWith("HTTP/1.1 503 "), "from the signal on");
            assertTrue(call("GET /status/metrics").contains("\"concurrent\":1,"));
            assertEquals("MOVE", reader(one).readLine());
            leaving.join(5000);
        }
    }

    /** The clients' descriptors are one thing, those of the second address another. */
    @Test
    void aNodeWithoutDescriptorsForClientsStillAnswersItsStaff() throws IOException {
        node(64 + 32 + 4);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            clients.add(client(OPEN));
            clients.add(serve());
        }
        assertTrue(call("GET /status").startsWith("HTTP/1.1 200 "));
        assertTrue(call("GET /status/metrics").contains("\"concurrent\":2,"));
        for (Socket s : clients) {
            s.close();
        }
    }

    @Test
    void aNodeThatLeavesTakesWhatStillComesAnswersAllAndMovesItsClients() throws Exception {
        node(1024);
        try (Socket standing = client(OPEN);
                Socket first = serve()) {
            BufferedReader standingIn = reader(standing);
            assertEquals("UP r", standingIn.readLine());
            Thread leaving = new Thread(node::shutDown);
            leaving.start();
            while (!node.isShuttingDown()) {
                Thread.onSpinWait();
            }
            try (Socket late = client("PING\r\n" + OPEN);
                    Socket second = serve();
                    Socket owed = client(OPEN);
                    Socket silent = member.accept()) {
                BufferedReader lateIn = reader(late);
                assertEquals("UP r", lateIn.readLine(), "taken, and the ping before it not answered");
                long sinceNs = System.nanoTime();
                assertEquals("MOVE", standingIn.readLine());
                // A neighbour that left just before is not back yet: whoever moves early finds nobody.
                assertTrue(System.nanoTime() - sinceNs > 1_000_000_000L, "served for as long as there is time");
                assertNull(standingIn.readLine());
                assertEquals("MOVE", lateIn.readLine());
                assertTrue(reader(owed).readLine().startsWith("BUSY"), "owed an answer until the end");
                leaving.join(5000);
                assertFalse(leaving.isAlive());
            }
        }
    }

    /** Some rest until the node ends them: the end of its process would close them without a word, perhaps over a request. */
    @Test
    void aRestingClientIsToldBeforeTheNodeEnds() throws IOException {
        longest = 1;
        Limits usual = Limits.forDescriptors(1024);
        node(
                usual.with(new Limits.LineProtocol(
                        usual.lineProtocol().lineBytes(),
                        60_000,
                        usual.lineProtocol().pings(),
                        usual.lineProtocol().longestWaitMs(),
                        usual.lineProtocol().protocolErrorLogMs())),
                OperatorsFile.EMPTY);
        try (Socket resting = client("PING\r\n");
                Socket half = client("OPEN ha")) {
            BufferedReader in = reader(resting);
            assertEquals("PONG", in.readLine());
            node.shutDown();
            for (BufferedReader each : List.of(in, reader(half))) {
                assertTrue(each.readLine().matches("BUSY [0-9]+"));
                assertNull(each.readLine());
            }
        }
    }

    /** SIGKILL comes 0.7 s after the longest deadline, which settings may make shorter than usual. */
    @Test
    void whereNobodyWaitsLongANodeLeavesSooner() throws IOException {
        longest = 1;
        node(1024);
        try (Socket standing = client(OPEN);
                Socket server = serve()) {
            assertEquals("UP r", reader(standing).readLine());
            long sinceNs = System.nanoTime();
            node.shutDown();
            // The deadlines are 1.0 to 1.8 s here.
            assertTrue(System.nanoTime() - sinceNs < 2_500_000_000L);
            assertEquals("MOVE", reader(standing).readLine());
        }
    }

    @Test
    void theSecondFrontListensWhereItsFileSaysAndNotOnThePlatform() throws IOException {
        Path file = folder.resolve("tulipshed.sexp");
        Files.writeString(
                file, Files.readString(Path.of("../example/tulipshed.sexp")).replace(":4433", ":0"));
        var names = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                .nameIndex();
        node(1024, OperatorsFile.load(file, names));
        assertTrue(
                log.stream().anyMatch(l -> l.startsWith("INFO node: QUIC frontend listens on /127.0.0.1:")),
                log.toString());
        node.shutDown();
        log.clear();
        node(1024, OperatorsFile.load(Path.of("../deploy/tulipshed.sexp"), names));
        assertFalse(log.stream().anyMatch(l -> l.contains("QUIC")), log.toString());
    }

    /** Without this a node at its limit would take clients that it cannot connect onwards, or not take any. */
    @Test
    void aNodeWithoutDescriptorsTurnsAwayCleanlyAndGoesOn() throws IOException {
        node(64 + 32 + 4);
        try (Socket one = client(OPEN);
                Socket first = serve()) {
            assertEquals("UP r", reader(one).readLine());
            Socket two = client(OPEN);
            Socket second = serve();
            assertEquals("UP r", reader(two).readLine());
            try (Socket three = client(OPEN)) {
                BufferedReader in = reader(three);
                assertTrue(in.readLine().matches("BUSY [0-9]+"), "and told when to come again");
                assertNull(in.readLine());
            }
            second.close();
            assertNull(reader(two).readLine());
            two.close();
            assertEquals("UP r", again());
        }
    }

    /** Seen on a rude day: hundreds that say nothing took the descriptors, and 957 others were turned away. */
    @Test
    void clientsThatSayNothingGiveWayToOthers() throws IOException {
        node(64 + 32 + 16);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(client(i % 2 == 0 ? "" : "frob\r\n"));
        }
        for (int i = 0; i < 3; i++) {
            try (Socket one = client(OPEN);
                    Socket server = serve()) {
                assertEquals("UP r", reader(one).readLine());
            }
        }
        String first = reader(silent.get(0)).readLine();
        assertTrue(first != null && first.matches("BUSY [0-9]+"), first);
        for (Socket s : silent) {
            s.close();
        }
    }

    /** Tries until the node has noticed what was closed. */
    private String again() throws IOException {
        while (true) {
            Socket socket = client(OPEN);
            member.setSoTimeout(200);
            try (Socket server = serve()) {
                return reader(socket).readLine();
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
            }
        }
    }
}
