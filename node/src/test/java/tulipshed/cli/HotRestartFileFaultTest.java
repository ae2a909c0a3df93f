package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.listen;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeConfigFile;
import tulipshed.testing.NodeProcess;

/** Nodes in separate processes whose shared hot-restart file cannot be written, or is truncated while in use. */
@Timeout(60)
class HotRestartFileFaultTest {
    /**
     * Limits files to less than a slot of the shared file, whether the shell counts blocks of 512 or of 1,024 bytes.
     */
    private static final List<String> SIZE_LIMITING_LAUNCHER = List.of("sh", "-c", "ulimit -f 200; exec \"$@\"", "sh");

    private static final int ACCEPT_TIMEOUT_MS = 10_000;

    private static final String UNAVAILABLE = "WARN node: hot restart unavailable";

    @TempDir
    private Path directory;

    private final int listenPort = freeTcpPort();
    private final ServerSocket endpoint = listen(50);

    HotRestartFileFaultTest() throws IOException {}

    @AfterEach
    void closeEndpoint() throws IOException {
        endpoint.close();
    }

    private NodeProcess start(List<String> launcher) throws IOException {
        Path config = NodeConfigFile.fromTemplate()
                .listenPort(listenPort)
                .endpointPort(endpoint.getLocalPort())
                .writeTo(directory);
        NodeProcess node =
                new NodeProcess(launcher, Map.of("PROXY_CONFIG", config.toString(), "TMPDIR", directory.toString()));
        assertNotNull(
                node.awaitLogLine("INFO node: n0 serves"),
                () -> node.readLines().toString());
        return node;
    }

    private void assertServes(String id) throws IOException {
        try (Socket client = connect(listenPort)) {
            send(client, "OPEN " + id + " k c=slot-board,t=melnik-terminal,d=4000\r\n");
            endpoint.setSoTimeout(ACCEPT_TIMEOUT_MS);
            try (Socket upstream = endpoint.accept()) {
                assertTrue(reader(upstream).readLine().startsWith("OPEN"));
                send(upstream, "UP r\r\n");
                assertEquals("UP r", reader(client).readLine());
            }
        }
    }

    private static void assertShutsDown(NodeProcess node) throws Exception {
        node.sendSignal("TERM");
        assertNotNull(node.awaitLogLine("INFO node: shutting down"));
        assertTrue(node.awaitExit(8));
    }

    @Test
    void servesWithoutHotRestartWhereFileCannotBeWritten() throws Exception {
        try (NodeProcess node = start(SIZE_LIMITING_LAUNCHER)) {
            for (int i = 0; i < 10; i++) {
                assertServes("9b" + i);
            }
            assertShutsDown(node);
            assertEquals(
                    1,
                    node.readLines().stream()
                            .filter(line -> line.startsWith(UNAVAILABLE))
                            .count(),
                    () -> node.readLines().toString());
        }
    }

    @Test
    void servesAndHandsOverAfterFileIsTruncated() throws Exception {
        try (NodeProcess first = start(List.of())) {
            assertServes("9b0");
            try (Stream<Path> files = Files.list(directory);
                    FileChannel file = FileChannel.open(
                            files.filter(path -> path.toString().endsWith(".share"))
                                    .findFirst()
                                    .orElseThrow(),
                            StandardOpenOption.WRITE)) {
                file.truncate(0);
            }
            for (int i = 1; i < 10; i++) {
                assertServes("9b" + i);
            }
            try (NodeProcess second = start(List.of())) {
                assertTrue(second.readLines().stream().anyMatch(line -> line.contains("alongside another process")));
                first.sendSignal("TERM");
                assertNotNull(first.awaitLogLine("INFO node: shutting down, handing over to another process"));
                assertTrue(first.awaitExit(8));
                assertServes("9b1");
            }
        }
    }
}
