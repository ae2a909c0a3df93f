package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
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
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeConfigFile;
import tulipshed.testing.NodeProcess;

/** A node in a process with a low descriptor limit, with more clients than descriptors and unreachable discovery. */
class DescriptorExhaustionTest {
    private static final int DESCRIPTOR_LIMIT = 256;
    private static final List<String> LIMITING_LAUNCHER =
            List.of("sh", "-c", "ulimit -n " + DESCRIPTOR_LIMIT + "; exec \"$@\"", "sh");
    private static final String OPEN = "OPEN ID k c=slot-board,t=melnik-terminal,d=4000\r\n";

    @TempDir
    private Path directory;

    private final int listenPort = freeTcpPort();
    private final int managementPort = freeTcpPort();
    private final int discoveryPort = freeTcpPort();
    private final ServerSocket endpoint = listen(200);
    private final ServerSocket secondEndpoint = listen(200);
    private final List<Socket> open = new ArrayList<>();
    private int nextId;

    DescriptorExhaustionTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
        endpoint.close();
        secondEndpoint.close();
    }

    private NodeProcess startNode() throws Exception {
        Path file = NodeConfigFile.fromTemplate()
                .listenPort(listenPort)
                .endpointPort(endpoint.getLocalPort())
                .discoveryPort(discoveryPort)
                .replace("\"sockets\": 1024", "\"sockets\": " + DESCRIPTOR_LIMIT)
                .writeTo(directory);
        NodeProcess node = new NodeProcess(
                LIMITING_LAUNCHER,
                Map.of(
                        "PROXY_CONFIG",
                        file.toString(),
                        "TMPDIR",
                        directory.toString(),
                        "PROXY_MANAGEMENT",
                        "127.0.0.1:" + managementPort));
        assertNotNull(node.awaitLogLine("INFO node: n0 serves"));
        return node;
    }

    private Socket connectClient(String firstLine) throws IOException {
        Socket socket = connect(listenPort);
        open.add(socket);
        send(socket, firstLine.replace("ID", "9b" + nextId++));
        return socket;
    }

    /** Opens a request and returns the reply of the endpoint or, if there is no capacity, of the node. */
    private String openRequest(ServerSocket expectedEndpoint) throws IOException {
        Socket client = connectClient(OPEN);
        expectedEndpoint.setSoTimeout(1000);
        try {
            Socket upstream = expectedEndpoint.accept();
            open.add(upstream);
            assertTrue(reader(upstream).readLine().startsWith("OPEN"));
            send(upstream, "UP r\r\n");
        } catch (SocketTimeoutException noAttempt) {
            return reader(client).readLine();
        }
        return reader(client).readLine();
    }

    /** Opens a request and retries it if it is rejected, as an attempt may time out on a busy machine. */
    private String openRequestWithRetries(ServerSocket expectedEndpoint) throws IOException {
        String reply = openRequest(expectedEndpoint);
        for (int i = 0; i < 10 && reply.matches("BUSY [0-9]+"); i++) {
            reply = openRequest(expectedEndpoint);
        }
        return reply;
    }

    /** Asserts that the management server, reloads and discovery still get descriptors. */
    private void assertOtherServicesContinue(NodeProcess node) throws Exception {
        assertTrue(httpGet(managementPort, "/status").startsWith("HTTP/1.1 200 "), "the management server");
        node.sendSignal("HUP");
        assertNotNull(node.awaitReloadLine(), "a reload");
        // Discovery becomes reachable again and lists another endpoint.
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), discoveryPort), 50);
            listener.setSoTimeout(6000);
            Socket connection = listener.accept();
            open.add(connection);
            assertTrue(reader(connection).readLine().startsWith("GET /discovery/hosts"), "the request to discovery");
            String list = "{\"version\":9,\"full\":true,\"servers\":[{\"id\":\"s-2\",\"addr\":\"127.0.0.1:"
                    + secondEndpoint.getLocalPort()
                    + "\",\"state\":\"SERVING\"},{\"id\":\"s-1\",\"addr\":\"127.0.0.1:" + endpoint.getLocalPort()
                    + "\",\"state\":\"DRAINING\"}]}";
            send(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            assertNotNull(node.awaitLogLine("INFO discovery: watching endpoint list from version 9"), "the list");
        }
    }

    private static void assertShutsDownCleanly(NodeProcess node) throws Exception {
        node.sendSignal("TERM");
        assertNotNull(node.awaitLogLine("INFO node: shutting down"), "SIGTERM");
        assertTrue(node.awaitExit(8));
        // No such line is logged: the call reads the log to its end.
        assertNull(node.awaitLogLine("the end of its log"));
        // Guards against accepting so many clients that connections to endpoints and discovery run out of descriptors.
        assertTrue(
                node.readLines().stream().noneMatch(line -> line.contains("Too many open files")),
                node.readLines()::toString);
    }

    /** Four times as many clients as descriptors connect at once, half of them with an incomplete line. */
    @Test
    void silentClientsDoNotExhaustDescriptorsOfOthers() throws Exception {
        try (NodeProcess node = startNode()) {
            List<Socket> idle = new ArrayList<>();
            for (int i = 0; i < 4 * DESCRIPTOR_LIMIT; i++) {
                idle.add(connectClient(i % 2 == 0 ? "" : "OPEN half"));
            }
            assertEquals("UP r", openRequestWithRetries(endpoint), "idle clients are evicted for one with a request");
            assertOtherServicesContinue(node);
            assertEquals("UP r", openRequestWithRetries(secondEndpoint));
            // The first client was evicted, with or without a reply, and its connection is closed.
            String reply = String.valueOf(reader(idle.get(0)).readLine());
            assertTrue(reply.matches("BUSY [0-9]+|ERR|null"), reply);
            assertShutsDownCleanly(node);
        }
    }

    /** Established clients use all of the client capacity; others are rejected until there is capacity again. */
    @Test
    void establishedClientsDoNotExhaustDescriptorsOfOthers() throws Exception {
        try (NodeProcess node = startNode()) {
            List<Socket> established = new ArrayList<>();
            String reply = openRequest(endpoint);
            while (reply.equals("UP r")) {
                established.add(open.get(open.size() - 2));
                reply = openRequest(endpoint);
            }
            assertTrue(established.size() > 50, established.size() + " established");
            assertTrue(reply.matches("BUSY [0-9]+"), reply);
            List<BufferedReader> rejected = new ArrayList<>();
            for (int i = 0; i < DESCRIPTOR_LIMIT; i++) {
                rejected.add(reader(connectClient(i % 2 == 0 ? "" : OPEN)));
            }
            for (BufferedReader in : rejected) {
                assertRejected(in);
            }
            assertOtherServicesContinue(node);
            for (Socket client : established) {
                client.close();
            }
            assertEquals("UP r", openRequestWithRetries(secondEndpoint), "served again without a restart");
            assertShutsDownCleanly(node);
        }
    }

    private static void assertRejected(BufferedReader in) throws IOException {
        try {
            String reply = in.readLine();
            assertTrue(reply == null || reply.matches("BUSY [0-9]+"), reply);
            assertNull(reply == null ? null : in.readLine());
        } catch (SocketException reset) {
            throw new AssertionError("BUSY or a clean close", reset);
        }
    }
}
