package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.IOException;
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

/** A node whose kernel limit of descriptors is lower than its configured limit, so that accepts fail with EMFILE. */
@Timeout(60)
class AcceptShortageTest {
    private static final int DESCRIPTOR_LIMIT = 128;
    private static final List<String> LIMITING_LAUNCHER =
            List.of("sh", "-c", "ulimit -n " + DESCRIPTOR_LIMIT + "; exec \"$@\"", "sh");

    @TempDir
    private Path directory;

    /**
     * Makes the node load the classes that reject a client while descriptors are free: in the test the node opens a
     * file for each class, whereas a packaged node keeps its jar open.
     */
    private static void loadClassesForRejection(int listenPort) throws IOException {
        try (Socket client = connect(listenPort)) {
            send(client, "MALFORMED\r\n");
            assertEquals("ERR", reader(client).readLine());
        }
    }

    @Test
    void clientsBeyondLimitOfKernelAreServedOrRejectedAndDoNotWait() throws Exception {
        int listenPort = freeTcpPort();
        Path config = NodeConfigFile.fromTemplate().listenPort(listenPort).writeTo(directory);
        List<Socket> idle = new ArrayList<>();
        try (NodeProcess node = new NodeProcess(
                LIMITING_LAUNCHER, Map.of("PROXY_CONFIG", config.toString(), "TMPDIR", directory.toString()))) {
            assertNotNull(node.awaitLogLine("INFO node: n0 serves"));
            loadClassesForRejection(listenPort);
            for (int i = 0; i < 2 * DESCRIPTOR_LIMIT; i++) {
                idle.add(connect(listenPort));
            }
            for (int i = 0; i < 20; i++) {
                try (Socket client = connect(listenPort)) {
                    // Shorter than the 2 s after which the node closes an idle client anyway.
                    client.setSoTimeout(1000);
                    send(client, "PING\r\n");
                    String reply = String.valueOf(reader(client).readLine());
                    assertTrue(reply.matches("PONG|BUSY [0-9]+"), reply);
                }
            }
            assertNotNull(node.awaitLogLine("WARN transport: accepting failed"));
            for (Socket socket : idle) {
                socket.close();
            }
            node.sendSignal("TERM");
            assertNotNull(node.awaitLogLine("INFO node: shutting down"));
            assertTrue(node.awaitExit(8));
            assertEquals(
                    1,
                    node.readLines().stream()
                            .filter(line -> line.contains("accepting failed"))
                            .count(),
                    () -> node.readLines().toString());
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }
}
