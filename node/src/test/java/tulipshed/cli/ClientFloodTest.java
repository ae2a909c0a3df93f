package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.listen;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeConfigFile;
import tulipshed.testing.NodeProcess;

/** Clients that send at full speed, beside one that is to be served. */
@Timeout(120)
class ClientFloodTest {
    private static final int FLOODING_THREADS = 4;
    private static final int CLIENTS_PER_THREAD = 6_000;

    /** Much less than the clients of one second would take, if closed connections stayed in memory. */
    private static final String SMALL_HEAP = "-Xmx16m";

    @TempDir
    private Path directory;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final int listenPort = freeTcpPort();
    private final ServerSocket endpoint = listen(50);

    ClientFloodTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        threads.shutdownNow();
        endpoint.close();
    }

    private NodeProcess startNode() throws IOException {
        Path config = NodeConfigFile.fromTemplate()
                .listenPort(listenPort)
                .endpointPort(endpoint.getLocalPort())
                .writeTo(directory);
        NodeProcess node = new NodeProcess(Map.of("PROXY_CONFIG", config.toString(), "JAVA_TOOL_OPTIONS", SMALL_HEAP));
        assertTrue(node.awaitLogLine("INFO node: n0 serves") != null);
        return node;
    }

    private void sendMalformedCommands() throws IOException {
        for (int i = 0; i < CLIENTS_PER_THREAD; i++) {
            try (Socket client = connect(listenPort)) {
                send(client, "frob\r\n");
                assertEquals("ERR", reader(client).readLine());
            }
        }
    }

    private void assertServes() throws IOException {
        try (Socket client = connect(listenPort)) {
            send(client, "OPEN 9b1 k c=slot-board,t=melnik-terminal,d=4000\r\n");
            try (Socket upstream = endpoint.accept()) {
                assertTrue(reader(upstream).readLine().startsWith("OPEN"));
                send(upstream, "UP r\r\n");
                assertEquals("UP r", reader(client).readLine());
            }
        }
    }

    /** Guards against connections that stay in memory after they are closed, until the heap is full. */
    @Test
    void clientsThatReconnectAtFullSpeedDoNotFillTheHeap() throws Exception {
        try (NodeProcess node = startNode()) {
            List<Future<?>> floods = new ArrayList<>();
            for (int i = 0; i < FLOODING_THREADS; i++) {
                floods.add(threads.submit(() -> {
                    sendMalformedCommands();
                    return null;
                }));
            }
            for (Future<?> flood : floods) {
                flood.get();
            }
            assertServes();
            node.sendSignal("TERM");
            assertTrue(node.awaitExit(10));
            assertEquals(null, node.awaitLogLine("java.lang.OutOfMemoryError"));
        }
    }
}
