package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.httpGet;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.demo.StubDiscovery;
import tulipshed.testing.NodeProcess;

/** SIGHUP, given to a node in a process of its own. */
class ConfigurationReloadTest {
    @TempDir
    private Path folder;

    private Path configure(int listen, int discovery) throws IOException {
        return Files.writeString(
                folder.resolve("node.json"),
                Files.readString(Path.of("src/test/resources/node.json"))
                        .replaceAll("\"discovery\": *\"[^\"]*\"", "\"discovery\": \"127.0.0.1:" + discovery + "\"")
                        .replace(":18080", ":" + listen));
    }

    private static String ping(Socket client, BufferedReader in) throws IOException {
        send(client, "PING\r\n");
        return in.readLine();
    }

    /** Without a handler the virtual machine ends on SIGHUP, and all connections with it. */
    @Test
    void aNodeReadsItsConfigurationAgainAndGoesOnAsItIsWhereItCannot() throws Exception {
        int listen = freeTcpPort();
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            discovery.setSoTimeout(10_000);
            try (NodeProcess node =
                    new NodeProcess(Map.of("PROXY_CONFIG", configure(listen, 9).toString()))) {
                node.awaitLogLine("INFO node: n0 serves");
                try (Socket client = connect(listen)) {
                    BufferedReader in = reader(client);
                    assertEquals("PONG", ping(client, in));
                    Files.writeString(folder.resolve("node.json"), "{");
                    node.sendSignal("HUP");
                    assertTrue(node.awaitReloadLine()
                            .startsWith("WARN node: configuration rejected, the current one stays"));
                    configure(listen, discovery.getLocalPort());
                    node.sendSignal("HUP");
                    assertEquals(
                            "INFO node: configuration reloaded, discovery at /127.0.0.1:" + discovery.getLocalPort(),
                            node.awaitReloadLine());
                    try (Socket call = discovery.accept()) {
                        assertEquals(
                                "GET /discovery/hosts HTTP/1.1", reader(call).readLine());
                    }
                    node.sendSignal("HUP");
                    assertTrue(node.awaitReloadLine() != null, "once more does no harm");
                    assertEquals("PONG", ping(client, in), "the connection has stayed");
                }
                node.sendSignal("TERM");
                node.awaitLogLine("INFO node: shutting down");
                node.sendSignal("HUP");
                assertTrue(node.awaitExit(10));
                assertEquals(143, node.exitCode(), "ended by SIGTERM, not by SIGHUP");
            }
        }
    }

    /**
     * Seen on the bench: days with SIGHUP played 0.3 or 0.98, by whether what had started the bench ignored the signal. A process
     * inherits that, and the virtual machine installs no handler for a signal that is ignored.
     */
    @Test
    void aNodeThatWasStartedWithSighupIgnoredSaysSoAndTheDeployFilesCommandUndoesIt() throws Exception {
        String ignoring = "trap '' HUP; exec \"$@\"";
        Map<String, String> environment =
                Map.of("PROXY_CONFIG", configure(freeTcpPort(), 9).toString());
        try (NodeProcess node = new NodeProcess(List.of("sh", "-c", ignoring, "sh"), environment)) {
            assertTrue(node.awaitLogLine("WARN node: SIGHUP is ignored") != null);
        }
        String run = Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        assertTrue(run.startsWith("run = \"exec env --default-signal=HUP java "), run);
        try (NodeProcess node =
                new NodeProcess(List.of("sh", "-c", ignoring, "sh", "env", "--default-signal=HUP"), environment)) {
            node.awaitLogLine("INFO node: n0 serves");
            node.sendSignal("HUP");
            assertTrue(node.awaitReloadLine() != null);
        }
    }

    private void change(int listen, int member, String... replacements) throws IOException {
        configure(listen, 9);
        Path file = folder.resolve("node.json");
        String text = Files.readString(file).replace(":18081", ":" + member);
        for (int i = 0; i < replacements.length; i += 2) {
            assertTrue(text.contains(replacements[i]));
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        Files.writeString(file, text);
    }

    private static String answer(int listen, String id, String requestClass) throws IOException {
        try (Socket client = connect(listen)) {
            send(client, "OPEN " + id + " k c=" + requestClass + ",t=melnik-terminal,d=2000\r\n");
            return reader(client).readLine();
        }
    }

    /** Seen on a retune day: the new class was unknown, and a file without deadlines was taken. */
    @Test
    void newSettingsHoldAtOnceAndABrokenFileChangesNothing() throws Exception {
        int listen = freeTcpPort();
        int management = freeTcpPort();
        try (ServerSocket member = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            member.setSoTimeout(10_000);
            change(listen, member.getLocalPort());
            try (NodeProcess node = new NodeProcess(Map.of(
                    "PROXY_CONFIG",
                    folder.resolve("node.json").toString(),
                    "PROXY_MANAGEMENT",
                    "127.0.0.1:" + management))) {
                node.awaitLogLine("INFO node: n0 serves");
                assertEquals("ERR", answer(listen, "1", "gate-alarm"));
                change(listen, member.getLocalPort(), "\"gate-status\"", "\"gate-alarm\"");
                node.sendSignal("HUP");
                node.awaitLogLine("INFO node: configuration reloaded, discovery");
                assertEquals("ERR", answer(listen, "2", "gate-status"), "dropped, so unknown");
                try (Socket client = connect(listen)) {
                    send(client, "OPEN 3 k c=gate-alarm,t=melnik-terminal,d=2000\r\n");
                    try (Socket server = member.accept()) {
                        send(server, "UP r\r\n");
                        assertEquals("UP r", reader(client).readLine());
                    }
                }
                for (String broken : List.of("", "{\"name\": \"n0\"}")) {
                    Files.writeString(folder.resolve("node.json"), broken);
                    node.sendSignal("HUP");
                    assertTrue(node.awaitReloadLine()
                            .startsWith("WARN node: configuration rejected, the current one stays"));
                }
                change(listen, member.getLocalPort(), "\"HardLimitS\": 4.8", "\"HardLimitS\": 0");
                node.sendSignal("HUP");
                assertTrue(node.awaitReloadLine()
                        .endsWith("HardLimitS of an entry of Classes is not a finite number above 0"));
                String figures = httpGet(management, "/status/metrics");
                assertTrue(figures.contains("\"gate-alarm\":{\"success\":1,"), figures);
                assertTrue(figures.contains("\"reload_success\":1,\"reload_failure\":3}"), figures);
            }
        }
    }

    /** The rules change with the settings that they name, and a file with any fault changes neither. */
    @Test
    void theOperatorsFileIsReadAgainWholeOrNotAtAll() throws Exception {
        int listen = freeTcpPort();
        int management = freeTcpPort();
        Path rules = folder.resolve("tulipshed.sexp");
        try (ServerSocket member = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            member.setSoTimeout(10_000);
            change(listen, member.getLocalPort());
            String sound = "(attributes (berth string 4))\n(pool s (where (= member.id \"s-1\")))\n"
                    + "(pool none (where (= member.id \"s-9\")))\n(route here (when (= (default berth \"\") \"b1\")) (to s))\n";
            Files.writeString(rules, sound);
            try (NodeProcess node = new NodeProcess(
                    Map.of(
                            "PROXY_CONFIG",
                            folder.resolve("node.json").toString(),
                            "PROXY_MANAGEMENT",
                            "127.0.0.1:" + management),
                    "--operators",
                    rules.toString())) {
                node.awaitLogLine("INFO node: n0 serves");
                assertEquals("ERR", answer(listen, "1", "gate-status,berth=b1234"), "longer than declared");
                try (Socket standing = connect(listen)) {
                    send(standing, "OPEN 2 k c=gate-status,t=melnik-terminal,d=2000,berth=b1\r\n");
                    Socket server = member.accept();
                    send(server, "UP r\r\n");
                    BufferedReader in = reader(standing);
                    assertEquals("UP r", in.readLine());
                    Files.writeString(rules, sound.replace("(to s)", "(to noone)") + "(route");
                    node.sendSignal("HUP");
                    String down = node.awaitReloadLine();
                    assertTrue(
                            down.startsWith("WARN node: configuration rejected, the current one stays: " + rules
                                    + ":5:1: this ( is never closed"),
                            down);
                    Files.writeString(rules, sound.replace("(to s)", "(to none)"));
                    node.sendSignal("HUP");
                    node.awaitLogLine("INFO node: configuration reloaded, discovery");
                    assertTrue(
                            answer(listen, "3", "gate-status,berth=b1").startsWith("BUSY"), "its pool has no member");
                    send(standing, "still here\r\n");
                    BufferedReader there = reader(server);
                    assertTrue(there.readLine().startsWith("OPEN"));
                    assertEquals("still here", there.readLine(), "what stands goes on");
                    String figures = httpGet(management, "/status/metrics");
                    assertTrue(
                            figures.contains("\"reload_success\":1,\"reload_failure\":1,\"routes_spilled\":0}"),
                            figures);
                    server.close();
                }
            }
            Files.writeString(rules, "(pool a (where tru))");
            try (NodeProcess node = new NodeProcess(
                    Map.of("PROXY_CONFIG", folder.resolve("node.json").toString()), "--operators", rules.toString())) {
                assertEquals(
                        "tulipshed: bad configuration: " + rules + ":1:16: unknown name tru; did you mean true?",
                        node.awaitLogLine("tulipshed"));
                assertTrue(node.awaitExit(10));
                assertEquals(2, node.exitCode());
            }
        }
    }

    /** Where lists are pushed, the node's agent is the only one who knows: it is asked from the start and after each dark time. */
    @Test
    void aNodeToWhoseAgentListsArePushedHearsOfMembersFromTheStartAndAfterADarkTime() throws Exception {
        int listen = freeTcpPort();
        int staff = freeTcpPort();
        try (StubDiscovery agent = new StubDiscovery()) {
            Path file = configure(listen, agent.address().getPort());
            Files.writeString(
                    file, Files.readString(file).replace("\"Discovery\": \"ask\"", "\"Discovery\": \"push\""));
            InetSocketAddress member = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
            agent.publish("s-1", member, "decin", "std-2c", "SERVING");
            agent.publish("s-2", member, "decin", "std-2c", "SERVING");
            try (NodeProcess node = new NodeProcess(
                    Map.of("PROXY_CONFIG", file.toString(), "PROXY_MANAGEMENT", "127.0.0.1:" + staff))) {
                node.awaitLogLine("INFO node: n0 serves");
                targets(staff, 2);
                agent.publish("s-3", member, "usti", "std-2c", "SERVING");
                targets(staff, 3);
                agent.setUnavailable(true);
                agent.publish("s-4", member, "usti", "std-2c", "SERVING");
                node.awaitLogLine("INFO discovery: ", "WARN discovery: ");
                agent.setUnavailable(false);
                targets(staff, 4);
                agent.publish("s-4", member, "usti", "std-2c", "DELETED");
                targets(staff, 3);
            }
        }
    }

    private static void targets(int staff, int wanted) throws IOException {
        long untilNanos = System.nanoTime() + 10_000_000_000L;
        String found = "\"targets\":" + wanted + ",";
        while (!httpGet(staff, "/status/metrics").contains(found)) {
            assertTrue(System.nanoTime() < untilNanos, "the node did not hear of " + wanted);
        }
    }
}
