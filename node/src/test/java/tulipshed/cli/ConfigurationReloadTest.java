package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.httpGet;
import static tulipshed.testing.LoopbackSockets.listen;
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
import tulipshed.testing.NodeConfigFile;
import tulipshed.testing.NodeProcess;

/** Reload of the configuration and the operators' file at SIGHUP, with a node in a separate process. */
class ConfigurationReloadTest {
    /** A loopback port without a listener. */
    private static final int UNUSED_PORT = 9;

    @TempDir
    private Path directory;

    private Path configure(int listenPort, int discoveryPort) throws IOException {
        return config(listenPort, discoveryPort).writeTo(directory);
    }

    private static NodeConfigFile config(int listenPort, int discoveryPort) throws IOException {
        return NodeConfigFile.fromTemplate().listenPort(listenPort).discoveryPort(discoveryPort);
    }

    private static String ping(Socket client, BufferedReader in) throws IOException {
        send(client, "PING\r\n");
        return in.readLine();
    }

    /** Guards against a missing SIGHUP handler, with which the virtual machine exits and all connections close. */
    @Test
    void appliesValidConfigurationAndKeepsCurrentOneOtherwise() throws Exception {
        int listenPort = freeTcpPort();
        try (ServerSocket discovery = listen(50)) {
            discovery.setSoTimeout(10_000);
            try (NodeProcess node = new NodeProcess(
                    Map.of("PROXY_CONFIG", configure(listenPort, UNUSED_PORT).toString()))) {
                node.awaitLogLine("INFO node: n0 serves");
                try (Socket client = connect(listenPort)) {
                    BufferedReader in = reader(client);
                    assertEquals("PONG", ping(client, in));
                    Files.writeString(directory.resolve("node.json"), "{");
                    node.sendSignal("HUP");
                    assertTrue(node.awaitReloadLine()
                            .startsWith("WARN node: configuration rejected, the current one stays"));
                    configure(listenPort, discovery.getLocalPort());
                    node.sendSignal("HUP");
                    assertEquals(
                            "INFO node: configuration reloaded, discovery at /127.0.0.1:" + discovery.getLocalPort(),
                            node.awaitReloadLine());
                    try (Socket request = discovery.accept()) {
                        assertEquals(
                                "GET /discovery/hosts HTTP/1.1", reader(request).readLine());
                    }
                    node.sendSignal("HUP");
                    assertTrue(node.awaitReloadLine() != null, "a further reload");
                    assertEquals("PONG", ping(client, in), "the connection was kept");
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
     * A process inherits ignored signals, and the virtual machine installs no handler for them: without the command in
     * the deployment file, reloads would depend on the parent process of the node.
     */
    @Test
    void warnsOfIgnoredSighupAndDeploymentCommandRestoresIt() throws Exception {
        String ignoring = "trap '' HUP; exec \"$@\"";
        Map<String, String> environment =
                Map.of("PROXY_CONFIG", configure(freeTcpPort(), UNUSED_PORT).toString());
        try (NodeProcess node = new NodeProcess(List.of("sh", "-c", ignoring, "sh"), environment)) {
            assertTrue(node.awaitLogLine("WARN node: SIGHUP is ignored") != null);
        }
        String run = Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
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

    private void configureWithEndpoint(int listenPort, int endpointPort, String... replacements) throws IOException {
        NodeConfigFile config = config(listenPort, UNUSED_PORT).endpointPort(endpointPort);
        for (int i = 0; i < replacements.length; i += 2) {
            config.replace(replacements[i], replacements[i + 1]);
        }
        config.writeTo(directory);
    }

    private static String openRequest(int listenPort, String id, String requestClass) throws IOException {
        try (Socket client = connect(listenPort)) {
            send(client, "OPEN " + id + " k c=" + requestClass + ",t=melnik-terminal,d=2000\r\n");
            return reader(client).readLine();
        }
    }

    /** A new request class is accepted at once; malformed files and non-positive deadlines are rejected. */
    @Test
    void appliesNewSettingsAtOnceAndRejectsMalformedFiles() throws Exception {
        int listenPort = freeTcpPort();
        int managementPort = freeTcpPort();
        try (ServerSocket endpoint = listen(50)) {
            endpoint.setSoTimeout(10_000);
            configureWithEndpoint(listenPort, endpoint.getLocalPort());
            try (NodeProcess node = new NodeProcess(Map.of(
                    "PROXY_CONFIG",
                    directory.resolve("node.json").toString(),
                    "PROXY_MANAGEMENT",
                    "127.0.0.1:" + managementPort))) {
                node.awaitLogLine("INFO node: n0 serves");
                assertEquals("ERR", openRequest(listenPort, "1", "gate-alarm"));
                configureWithEndpoint(listenPort, endpoint.getLocalPort(), "\"gate-status\"", "\"gate-alarm\"");
                node.sendSignal("HUP");
                node.awaitLogLine("INFO node: configuration reloaded, discovery");
                assertEquals("ERR", openRequest(listenPort, "2", "gate-status"), "unknown, as the class was removed");
                try (Socket client = connect(listenPort)) {
                    send(client, "OPEN 3 k c=gate-alarm,t=melnik-terminal,d=2000\r\n");
                    try (Socket upstream = endpoint.accept()) {
                        send(upstream, "UP r\r\n");
                        assertEquals("UP r", reader(client).readLine());
                    }
                }
                for (String malformed : List.of("", "{\"name\": \"n0\"}")) {
                    Files.writeString(directory.resolve("node.json"), malformed);
                    node.sendSignal("HUP");
                    assertTrue(node.awaitReloadLine()
                            .startsWith("WARN node: configuration rejected, the current one stays"));
                }
                configureWithEndpoint(listenPort, endpoint.getLocalPort(), "\"HardLimitS\": 4.8", "\"HardLimitS\": 0");
                node.sendSignal("HUP");
                assertTrue(node.awaitReloadLine()
                        .endsWith("HardLimitS of an entry of Classes is not a finite number above 0"));
                String metrics = httpGet(managementPort, "/status/metrics");
                assertTrue(metrics.contains("\"gate-alarm\":{\"success\":1,"), metrics);
                assertTrue(metrics.contains("\"reload_success\":1,\"reload_failure\":3}"), metrics);
            }
        }
    }

    private static void assertRejectsUnclosedRule(NodeProcess node, Path rules) throws IOException {
        String rejection = node.awaitReloadLine();
        assertTrue(
                rejection.startsWith("WARN node: configuration rejected, the current one stays: " + rules
                        + ":5:1: this ( is never closed"),
                rejection);
    }

    /** The rules and the settings to which they refer are applied together; a file with any error changes neither. */
    @Test
    void reloadsOperatorsFileCompletelyOrNotAtAll() throws Exception {
        int listenPort = freeTcpPort();
        int managementPort = freeTcpPort();
        Path rules = directory.resolve("tulipshed.sexp");
        try (ServerSocket endpoint = listen(50)) {
            endpoint.setSoTimeout(10_000);
            configureWithEndpoint(listenPort, endpoint.getLocalPort());
            String valid = "(attributes (berth string 4))\n(pool s (where (= member.id \"s-1\")))\n"
                    + "(pool none (where (= member.id \"s-9\")))\n(route here (when (= (default berth \"\") \"b1\")) (to s))\n";
            Files.writeString(rules, valid);
            Map<String, String> environment = Map.of(
                    "PROXY_CONFIG",
                    directory.resolve("node.json").toString(),
                    "PROXY_MANAGEMENT",
                    "127.0.0.1:" + managementPort);
            try (NodeProcess node = new NodeProcess(environment, "--operators", rules.toString())) {
                node.awaitLogLine("INFO node: n0 serves");
                assertEquals("ERR", openRequest(listenPort, "1", "gate-status,berth=b1234"), "longer than declared");
                try (Socket established = connect(listenPort)) {
                    send(established, "OPEN 2 k c=gate-status,t=melnik-terminal,d=2000,berth=b1\r\n");
                    Socket upstream = endpoint.accept();
                    send(upstream, "UP r\r\n");
                    BufferedReader in = reader(established);
                    assertEquals("UP r", in.readLine());
                    Files.writeString(rules, valid.replace("(to s)", "(to noone)") + "(route");
                    node.sendSignal("HUP");
                    assertRejectsUnclosedRule(node, rules);
                    Files.writeString(rules, valid.replace("(to s)", "(to none)"));
                    node.sendSignal("HUP");
                    node.awaitLogLine("INFO node: configuration reloaded, discovery");
                    assertTrue(
                            openRequest(listenPort, "3", "gate-status,berth=b1").startsWith("BUSY"),
                            "its pool has no endpoint");
                    send(established, "still here\r\n");
                    BufferedReader upstreamIn = reader(upstream);
                    assertTrue(upstreamIn.readLine().startsWith("OPEN"));
                    assertEquals("still here", upstreamIn.readLine(), "the established connection stays open");
                    assertMetricsContain(
                            managementPort, "\"reload_success\":1,\"reload_failure\":1,\"routes_spilled\":0}");
                    upstream.close();
                }
            }
            assertMalformedRulesEndTheStart(rules);
        }
    }

    private static void assertMetricsContain(int managementPort, String expected) throws IOException {
        String metrics = httpGet(managementPort, "/status/metrics");
        assertTrue(metrics.contains(expected), metrics);
    }

    private void assertMalformedRulesEndTheStart(Path rules) throws Exception {
        Files.writeString(rules, "(pool a (where tru))");
        String config = directory.resolve("node.json").toString();
        try (NodeProcess node = new NodeProcess(Map.of("PROXY_CONFIG", config), "--operators", rules.toString())) {
            assertEquals(
                    "tulipshed: bad configuration: " + rules + ":1:16: unknown name tru; did you mean true?",
                    node.awaitLogLine("tulipshed"));
            assertTrue(node.awaitExit(10));
            assertEquals(2, node.exitCode());
        }
    }

    /**
     * With pushed lists only the local agent has the list: the node watches it from the start and after each outage.
     */
    @Test
    void watchesPushedListsFromTheStartAndAfterAnOutage() throws Exception {
        int listenPort = freeTcpPort();
        int managementPort = freeTcpPort();
        try (StubDiscovery agent = new StubDiscovery()) {
            Path file = config(listenPort, agent.address().getPort())
                    .replace("\"Discovery\": \"ask\"", "\"Discovery\": \"push\"")
                    .writeTo(directory);
            InetSocketAddress endpoint = new InetSocketAddress(InetAddress.getLoopbackAddress(), UNUSED_PORT);
            agent.publish("s-1", endpoint, "decin", "std-2c", "SERVING");
            agent.publish("s-2", endpoint, "decin", "std-2c", "SERVING");
            try (NodeProcess node = new NodeProcess(
                    Map.of("PROXY_CONFIG", file.toString(), "PROXY_MANAGEMENT", "127.0.0.1:" + managementPort))) {
                node.awaitLogLine("INFO node: n0 serves");
                awaitTargets(managementPort, 2);
                agent.publish("s-3", endpoint, "usti", "std-2c", "SERVING");
                awaitTargets(managementPort, 3);
                agent.setUnavailable(true);
                agent.publish("s-4", endpoint, "usti", "std-2c", "SERVING");
                node.awaitLogLine("INFO discovery: ", "WARN discovery: ");
                agent.setUnavailable(false);
                awaitTargets(managementPort, 4);
                agent.publish("s-4", endpoint, "usti", "std-2c", "DELETED");
                awaitTargets(managementPort, 3);
            }
        }
    }

    private static void awaitTargets(int managementPort, int expected) throws IOException {
        long deadlineNs = System.nanoTime() + 10_000_000_000L;
        String metric = "\"targets\":" + expected + ",";
        while (!httpGet(managementPort, "/status/metrics").contains(metric)) {
            assertTrue(System.nanoTime() < deadlineNs, "timed out waiting for this number of targets: " + expected);
        }
    }
}
