package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.testing.NodeConfigFile;
import tulipshed.testing.NodeProcess;

/**
 * SIGTERM to a process with short deadlines while clients send, new clients connect, endpoints hang and SIGHUP arrives.
 */
@Timeout(60)
class ShutdownDeadlineTest {
    /** The time from the longest deadline after SIGTERM until SIGKILL. */
    private static final long KILL_AFTER_DEADLINE_MS = 700;

    /** How long new clients connect after SIGTERM. */
    private static final long ARRIVALS_MS = 400;

    /** The key of open commands to which the endpoint does not respond. */
    private static final String HANGS = "hangs";

    private static final String SERVED = "served";

    @TempDir
    private Path directory;

    private final int listenPort = freeTcpPort();
    private final ServerSocket endpoint = listen(200);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Future<String>> finalLines = new ArrayList<>();
    private int nextId;

    ShutdownDeadlineTest() throws IOException {
        threads.execute(this::acceptUpstreams);
    }

    @AfterEach
    void stop() throws IOException {
        endpoint.close();
        threads.shutdownNow();
    }

    private void acceptUpstreams() {
        try {
            while (true) {
                Socket upstream = endpoint.accept();
                threads.execute(() -> serveUpstream(upstream));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    /** Serves one connection as an endpoint that echoes lines, or never responds if the key is {@link #HANGS}. */
    private static void serveUpstream(Socket upstream) {
        try {
            BufferedReader in = reader(upstream);
            String line = in.readLine();
            if (line != null && line.contains(" " + HANGS + " ")) {
                return;
            }
            send(upstream, "UP r\r\n");
            for (line = in.readLine(); line != null; line = in.readLine()) {
                send(upstream, line + "\r\n");
            }
            upstream.close();
        } catch (IOException ended) {
            // The node ended the connection.
        }
    }

    private Path configure(double deadlineS) throws IOException {
        return NodeConfigFile.fromTemplate()
                .listenPort(listenPort)
                .endpointPort(endpoint.getLocalPort())
                .replaceAll("\"HardLimitS\": [0-9.]+", "\"HardLimitS\": " + deadlineS)
                .replaceAll("\"AimS\": [0-9.]+", "\"AimS\": " + deadlineS / 2)
                .writeTo(directory);
    }

    /** Opens a request and records the last line that its client reads. */
    private void openClient(String key, long deadlineMs, CompletableFuture<Void> established) throws IOException {
        Socket client = connect(listenPort);
        send(client, "OPEN 9b" + nextId++ + " " + key + " c=slot-board,t=melnik-terminal,d=" + deadlineMs + "\r\n");
        finalLines.add(threads.submit(() -> lastLine(client, established)));
    }

    /**
     * Reads to the end of the connection; a served client sends the next line as soon as the previous one is echoed.
     */
    private static String lastLine(Socket client, CompletableFuture<Void> established) throws IOException {
        String last = null;
        try (client) {
            BufferedReader in = reader(client);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                last = line;
                if (line.startsWith("UP") || line.startsWith("hello")) {
                    established.complete(null);
                    send(client, "hello\r\n");
                }
            }
        } catch (IOException reset) {
            return last + ", then " + reset.getMessage();
        }
        return last;
    }

    private void openUntilArrivalsEnd(long startNs, long deadlineMs) throws Exception {
        for (int i = 0; elapsedMs(startNs) < ARRIVALS_MS; i++) {
            openClient(i % 2 == 0 ? SERVED : HANGS, deadlineMs, new CompletableFuture<>());
            Thread.sleep(10);
        }
    }

    private static long elapsedMs(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    @ParameterizedTest
    @ValueSource(longs = {50, 300, 1000})
    void answersAllAndExitsBeforeItMayBeKilled(long deadlineMs) throws Exception {
        String config = configure(deadlineMs / 1000.0).toString();
        try (NodeProcess node = new NodeProcess(Map.of("PROXY_CONFIG", config))) {
            assertNotNull(node.awaitLogLine("INFO node: n0 serves"));
            for (int i = 0; i < 8; i++) {
                CompletableFuture<Void> established = new CompletableFuture<>();
                openClient(SERVED, 4_000, established);
                established.get(10, TimeUnit.SECONDS);
            }
            long startNs = System.nanoTime();
            node.sendSignal("TERM");
            // Lengthens the deadlines; the shutdown must use those in effect when the signal arrived.
            configure(4);
            node.sendSignal("HUP");
            openUntilArrivalsEnd(startNs, deadlineMs);
            assertTrue(node.awaitExit(10));
            long exitMs = elapsedMs(startNs);
            for (Future<String> last : finalLines) {
                String line = last.get(10, TimeUnit.SECONDS);
                assertTrue(line != null && line.matches("MOVE|BUSY.*|ERR"), "final line: " + line);
            }
            assertTrue(exitMs < deadlineMs + KILL_AFTER_DEADLINE_MS, "exited after " + exitMs + " ms");
            assertEquals(143, node.exitCode());
        }
    }
}
