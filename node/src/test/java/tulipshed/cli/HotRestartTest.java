package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.httpGet;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeProcess;

/** A second process of one node takes over from the first. */
@Timeout(60)
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class HotRestartTest {
    private static final String OPEN = "OPEN ID k c=slot-board,t=melnik-terminal,d=4000\r\n";

    @TempDir
    private Path folder;

    private final int listen = freeTcpPort();
    private final ServerSocket member = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    HotRestartTest() throws IOException {}

    private NodeProcess start(int management) throws IOException {
        Path file = Files.writeString(
                folder.resolve("node.json"),
                Files.readString(Path.of("src/test/resources/node.json"))
                        .replace(":18080", ":" + listen)
                        .replace(":18081", ":" + member.getLocalPort()));
        return new NodeProcess(Map.of(
                "PROXY_CONFIG",
                file.toString(),
                "TMPDIR",
                folder.toString(),
                "PROXY_MANAGEMENT",
                "127.0.0.1:" + management));
    }

    private Socket open(String id) throws IOException {
        Socket client = connect(listen);
        send(client, OPEN.replace("ID", id));
        return client;
    }

    private Socket serve() throws IOException {
        Socket server = member.accept();
        assertTrue(reader(server).readLine().startsWith("OPEN"));
        send(server, "UP r\r\n");
        return server;
    }

    private static void untilYes(int management) throws Exception {
        while (true) {
            try {
                if (httpGet(management, "/status").startsWith("HTTP/1.1 200 ")) {
                    return;
                }
            } catch (IOException notYet) {
                assertTrue(notYet.getMessage() != null);
            }
            Thread.sleep(20);
        }
    }

    /** Without a shared port the second process cannot start; without shared ids it serves one id twice. */
    @Test
    void theSecondProcessTakesTheClientsAndTheFirstMovesItsOwn() throws Exception {
        int first = freeTcpPort();
        int second = freeTcpPort();
        try (NodeProcess old = start(first)) {
            untilYes(first);
            try (Socket standing = open("9b1");
                    Socket server = serve()) {
                BufferedReader in = reader(standing);
                assertEquals("UP r", in.readLine());
                try (NodeProcess next = start(second)) {
                    untilYes(second);
                    List<Socket> pings = new ArrayList<>();
                    for (int i = 0; i < 20; i++) {
                        pings.add(connect(listen));
                        send(pings.get(i), "PING\r\n");
                        assertEquals("PONG", reader(pings.get(i)).readLine(), "let in by either process");
                        try (Socket twice = open("9b1")) {
                            assertEquals("ERR", reader(twice).readLine(), "open in one process, so open");
                        }
                    }
                    old.sendSignal("TERM");
                    assertTrue(old.awaitLogLine("INFO node: shutting down, handing over to another process") != null);
                    assertTrue(httpGet(first, "/status").startsWith("HTTP/1.1 503 "));
                    for (int i = 0; i < 20; i++) {
                        try (Socket late = connect(listen)) {
                            send(late, "PING\r\n");
                            assertEquals("PONG", reader(late).readLine(), "none ends at the door");
                        }
                    }
                    assertEquals("MOVE", in.readLine());
                    assertNull(in.readLine());
                    try (Socket again = open("9b1");
                            Socket its = serve()) {
                        assertEquals("UP r", reader(again).readLine(), "served by the new process");
                        for (Socket s : pings) {
                            s.close();
                        }
                        assertTrue(old.awaitExit(5));
                        send(again, "hello\r\n");
                        assertEquals("hello", reader(its).readLine());
                        assertTrue(httpGet(second, "/status/metrics").contains("\"concurrent\":1,\"dispatches\":1,"));
                    }
                }
            }
        }
    }
}
