package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.listen;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeConfigFile;
import tulipshed.testing.NodeProcess;

/** The endpoint list of a process that takes over while discovery is unreachable. */
@Timeout(60)
class HotRestartListTest {
    private static final int REQUESTS = 10;

    @TempDir
    private Path directory;

    private final int listenPort = freeTcpPort();

    HotRestartListTest() throws IOException {}

    private NodeProcess start(int discoveryPort, int cachedEndpointPort) throws IOException {
        Path config = NodeConfigFile.fromTemplate()
                .listenPort(listenPort)
                .endpointPort(cachedEndpointPort)
                .discoveryPort(discoveryPort)
                .writeTo(directory);
        return new NodeProcess(Map.of("PROXY_CONFIG", config.toString(), "TMPDIR", directory.toString()));
    }

    private static void tellOfDrain(Socket discovery, ServerSocket drained, ServerSocket serving) throws IOException {
        String list = "{\"version\":9,\"full\":true,\"servers\":[" + entry("s-1", drained, "DRAINING") + ","
                + entry("s-2", serving, "SERVING") + "]}";
        send(discovery, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    }

    private static String entry(String id, ServerSocket endpoint, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + endpoint.getLocalPort() + "\",\"state\":\"" + state
                + "\"}";
    }

    private void assertServedBy(ServerSocket endpoint, int request) throws IOException {
        try (Socket client = connect(listenPort)) {
            send(client, "OPEN r" + request + " k c=slot-board,t=melnik-terminal,d=4000\r\n");
            endpoint.setSoTimeout(5000);
            try (Socket upstream = endpoint.accept()) {
                assertTrue(reader(upstream).readLine().startsWith("OPEN"));
                send(upstream, "UP r\r\n");
                assertEquals("UP r", reader(client).readLine());
            }
        }
    }

    /** Guards against a new process that sends requests to an endpoint of whose drain the old process was notified. */
    @Test
    void newProcessKeepsTheDrainThatTheOldOneWasNotifiedOf() throws Exception {
        ServerSocket discovery = listen(50);
        try (ServerSocket drained = listen(50);
                ServerSocket serving = listen(50);
                NodeProcess first = start(discovery.getLocalPort(), drained.getLocalPort())) {
            try (Socket call = discovery.accept()) {
                assertEquals(
                        "GET /discovery/hosts?index=1&wait=0 HTTP/1.1",
                        reader(call).readLine());
                tellOfDrain(call, drained, serving);
                assertTrue(first.awaitLogLine("INFO node: n0 serves") != null);
                discovery.close();
            }
            try (NodeProcess second = start(discovery.getLocalPort(), drained.getLocalPort())) {
                assertTrue(second.awaitLogLine("INFO node: n0 serves") != null);
                first.sendSignal("TERM");
                assertTrue(first.awaitExit(10));
                for (int request = 0; request < REQUESTS; request++) {
                    assertServedBy(serving, request);
                }
            }
            drained.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, drained::accept, "nothing was sent to the draining endpoint");
        }
    }
}
