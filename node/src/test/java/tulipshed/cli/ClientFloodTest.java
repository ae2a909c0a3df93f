package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.listen;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
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
    private static final int LINES_PER_WRITE = 8_192;
    private static final int REQUESTS_BESIDE_FLOOD = 20;

    /** Much less than the clients of one second would take, if closed connections stayed in memory. */
    private static final String SMALL_HEAP = "-Xmx16m";

    @TempDir
    private Path directory;

    /** The flood, which ends with its connections. */
    private final List<Future<Void>> background = new CopyOnWriteArrayList<>();

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
        background.add(threads.submit(this::serveAll));
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

    /** Serves every connection of the node, and returns what its clients send, until the test ends. */
    private Void serveAll() throws IOException {
        while (true) {
            Socket upstream = endpoint.accept();
            background.add(threads.submit(() -> serve(upstream)));
        }
    }

    private static Void serve(Socket upstream) throws IOException {
        try (upstream) {
            while (upstream.getInputStream().read() != '\n') {}
            send(upstream, "UP r\r\n");
            upstream.getInputStream().transferTo(upstream.getOutputStream());
        }
        return null;
    }

    /** Returns the response to a request, which must arrive within 5 s. */
    private String request(int number) throws IOException {
        try (Socket client = connect(listenPort)) {
            send(client, "OPEN 9b" + number + " k c=slot-board,t=melnik-terminal,d=4000\r\n");
            return reader(client).readLine();
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
            assertEquals("UP r", request(0));
            node.sendSignal("TERM");
            assertTrue(node.awaitExit(10));
            assertEquals(null, node.awaitLogLine("java.lang.OutOfMemoryError"));
        }
    }

    /** Sends lines of two bytes until the connection ends. */
    private static Void sendShortLines(Socket client) throws IOException {
        byte[] lines = "\r\n".repeat(LINES_PER_WRITE).getBytes(StandardCharsets.US_ASCII);
        while (true) {
            client.getOutputStream().write(lines);
        }
    }

    private static Void discardInput(Socket client) throws IOException {
        client.getInputStream().transferTo(OutputStream.nullOutputStream());
        return null;
    }

    /** Guards against one served client that keeps the event loop busy, so that no other one gets an answer. */
    @Test
    void clientThatSendsShortLinesAtFullSpeedLeavesTheOthersServed() throws Exception {
        try (NodeProcess node = startNode();
                Socket flooding = connect(listenPort)) {
            send(flooding, "OPEN 9a1 k c=slot-board,t=melnik-terminal,d=4000\r\n");
            assertEquals("UP r", reader(flooding).readLine());
            background.add(threads.submit(() -> discardInput(flooding)));
            background.add(threads.submit(() -> sendShortLines(flooding)));
            Set<String> responses = new HashSet<>();
            for (int i = 0; i < REQUESTS_BESIDE_FLOOD; i++) {
                String response = request(i);
                assertTrue(response != null && response.matches("UP r|BUSY.*"), response);
                responses.add(response);
            }
            assertTrue(responses.contains("UP r"), responses.toString());
            assertTrue(node.isRunning());
        }
    }
}
