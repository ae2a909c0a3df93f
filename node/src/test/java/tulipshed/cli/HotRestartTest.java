package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeConfigFile;
import tulipshed.testing.NodeProcess;

/** Hot restart: a second process of one node takes over from the first. */
@Timeout(60)
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class HotRestartTest {
    private static final String OPEN = "OPEN ID k c=slot-board,t=melnik-terminal,d=4000\r\n";

    @TempDir
    private Path directory;

    private final int listenPort = freeTcpPort();
    private final ServerSocket endpoint = listen(50);

    HotRestartTest() throws IOException {}

    private NodeProcess start(int managementPort) throws IOException {
        Path config = NodeConfigFile.fromTemplate()
                .listenPort(listenPort)
                .endpointPort(endpoint.getLocalPort())
                .writeTo(directory);
        return new NodeProcess(Map.of(
                "PROXY_CONFIG",
                config.toString(),
                "TMPDIR",
                directory.toString(),
                "PROXY_MANAGEMENT",
                "127.0.0.1:" + managementPort));
    }

    private Socket openRequest(String id) throws IOException {
        Socket client = connect(listenPort);
        send(client, OPEN.replace("ID", id));
        return client;
    }

    private Socket acceptUpstream() throws IOException {
        Socket server = endpoint.accept();
        assertTrue(reader(server).readLine().startsWith("OPEN"));
        send(server, "UP r\r\n");
        return server;
    }

    private static void awaitReady(int managementPort) throws Exception {
        while (true) {
            try {
                if (httpGet(managementPort, "/status").startsWith("HTTP/1.1 200 ")) {
                    return;
                }
            } catch (IOException notYet) {
                assertTrue(notYet.getMessage() != null);
            }
            Thread.sleep(20);
        }
    }

    /** Opens connections that either process may accept, and asserts that both reject an ID that is already open. */
    private List<Socket> pingAndAssertDuplicateIdRejected(String openId) throws IOException {
        List<Socket> pings = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            pings.add(connect(listenPort));
            send(pings.get(i), "PING\r\n");
            assertEquals("PONG", reader(pings.get(i)).readLine(), "accepted by either process");
            try (Socket duplicate = openRequest(openId)) {
                assertEquals("ERR", reader(duplicate).readLine(), "open in one process, so rejected by both");
            }
        }
        return pings;
    }

    /**
     * Guards the shared port, without which the second process cannot start, and the shared IDs, without which one ID
     * is accepted twice.
     */
    @Test
    void secondProcessTakesOverAndFirstMigratesItsClients() throws Exception {
        int firstManagement = freeTcpPort();
        int secondManagement = freeTcpPort();
        try (NodeProcess first = start(firstManagement)) {
            awaitReady(firstManagement);
            try (Socket established = openRequest("9b1");
                    Socket server = acceptUpstream()) {
                BufferedReader in = reader(established);
                assertEquals("UP r", in.readLine());
                try (NodeProcess second = start(secondManagement)) {
                    awaitReady(secondManagement);
                    List<Socket> pings = pingAndAssertDuplicateIdRejected("9b1");
                    first.sendSignal("TERM");
                    assertTrue(first.awaitLogLine("INFO node: shutting down, handing over to another process") != null);
                    assertTrue(httpGet(firstManagement, "/status").startsWith("HTTP/1.1 503 "));
                    for (int i = 0; i < 20; i++) {
                        try (Socket late = connect(listenPort)) {
                            send(late, "PING\r\n");
                            assertEquals("PONG", reader(late).readLine(), "no new connection is lost");
                        }
                    }
                    assertEquals("MOVE", in.readLine());
                    assertNull(in.readLine());
                    try (Socket reconnected = openRequest("9b1");
                            Socket upstream = acceptUpstream()) {
                        assertEquals("UP r", reader(reconnected).readLine(), "served by the new process");
                        for (Socket ping : pings) {
                            ping.close();
                        }
                        assertTrue(first.awaitExit(5));
                        send(reconnected, "hello\r\n");
                        assertEquals("hello", reader(upstream).readLine());
                        assertTrue(httpGet(secondManagement, "/status/metrics")
                                .contains("\"concurrent\":1,\"dispatches\":1,"));
                    }
                }
            }
        }
    }
}
