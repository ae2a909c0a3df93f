package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tulipshed.testing.NodeProcess;

/** Restarted processes serve with the list that they remember, whatever discovery does: none waits for it. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class CrashRestartTest {
    private static final long READY_NS = 10_000_000_000L;

    @TempDir
    private Path folder;

    /** What discovery does with the calls of a node that comes up. */
    enum Discovery {
        DARK,
        SLOW,
        CROWDED,
        DRIPS
    }

    private NodeProcess start(int listen, int discovery, String folderOf) throws IOException {
        Path own = Files.createDirectories(folder.resolve(folderOf));
        Path file = Files.writeString(
                own.resolve("node.json"),
                Files.readString(Path.of("src/test/resources/node.json"))
                        .replace(":18080", ":" + listen)
                        .replace(":18500", ":" + discovery));
        return new NodeProcess(Map.of("PROXY_CONFIG", file.toString(), "TMPDIR", own.toString()));
    }

    /** Asks as the front layer does, until it is answered. */
    private static void untilReady(int listen, long sinceNs) throws IOException, InterruptedException {
        while (true) {
            try (Socket front = connect(listen)) {
                send(front, "PING\r\n");
                String answer = reader(front).readLine();
                assertTrue(System.nanoTime() - sinceNs < READY_NS, "ready within 10 s");
                assertEquals("PONG", answer);
                return;
            } catch (java.net.ConnectException notYet) {
                assertTrue(System.nanoTime() - sinceNs < READY_NS, "ready within 10 s");
                Thread.sleep(20);
            }
        }
    }

    private static void discovery(ServerSocket at, Discovery as, List<Socket> calls) {
        Thread answers = new Thread(() -> {
            try {
                while (true) {
                    Socket call = at.accept();
                    calls.add(call);
                    if (as == Discovery.CROWDED) {
                        send(call, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    } else if (as == Discovery.DRIPS) {
                        send(call, "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{");
                    }
                }
            } catch (IOException closed) {
                return;
            }
        });
        answers.setDaemon(true);
        answers.start();
    }

    @ParameterizedTest
    @EnumSource(Discovery.class)
    void aKilledProcessIsReadyAgainWhateverDiscoveryDoes(Discovery as) throws Exception {
        int listen = freeTcpPort();
        List<Socket> calls = new CopyOnWriteArrayList<>();
        try (ServerSocket at = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            int port = at.getLocalPort();
            if (as == Discovery.DARK) {
                at.close();
            } else {
                discovery(at, as, calls);
            }
            try (NodeProcess first = start(listen, port, "n")) {
                untilReady(listen, System.nanoTime());
                first.sendSignal("KILL");
                assertTrue(first.awaitExit(5));
            }
            long sinceNs = System.nanoTime();
            try (NodeProcess again = start(listen, port, "n")) {
                untilReady(listen, sinceNs);
                assertTrue(again.isRunning());
            }
        } finally {
            for (Socket s : calls) {
                s.close();
            }
        }
    }

    /** Seven of ten killed at one moment, and all of them started at one moment on this machine. */
    @Test
    void manyRestartedAtOnceAreReadyInTime() throws Exception {
        int nodes = 10;
        List<Integer> ports = new ArrayList<>();
        List<NodeProcess> running = new ArrayList<>();
        try {
            for (int i = 0; i < nodes; i++) {
                ports.add(freeTcpPort());
            }
            int dark = freeTcpPort();
            long sinceNs = System.nanoTime();
            for (int i = 0; i < nodes; i++) {
                running.add(start(ports.get(i), dark, "n" + i));
            }
            for (int port : ports) {
                untilReady(port, sinceNs);
            }
        } finally {
            running.forEach(NodeProcess::close);
        }
    }
}
