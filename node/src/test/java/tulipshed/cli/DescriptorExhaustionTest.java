package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
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
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeProcess;

/** A node in a process that the kernel allows few descriptors, all of them wanted at once while discovery is down. */
class DescriptorExhaustionTest {
    private static final int SOCKETS = 256;
    private static final List<String> LIMITED = List.of("sh", "-c", "ulimit -n " + SOCKETS + "; exec \"$@\"", "sh");
    private static final String OPEN = "OPEN ID k c=slot-board,t=melnik-terminal,d=4000\r\n";

    @TempDir
    private Path folder;

    private final int listen = freeTcpPort();
    private final int management = freeTcpPort();
    private final int discovery = freeTcpPort();
    private final ServerSocket member = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final ServerSocket second = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<Socket> open = new ArrayList<>();
    private int ids;

    DescriptorExhaustionTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        for (Socket s : open) {
            s.close();
        }
        member.close();
        second.close();
    }

    private NodeProcess start() throws Exception {
        Path file = Files.writeString(
                folder.resolve("node.json"),
                Files.readString(Path.of("src/test/resources/node.json"))
                        .replace(":18080", ":" + listen)
                        .replace(":18081", ":" + member.getLocalPort())
                        .replace(":18500", ":" + discovery)
                        .replace("\"sockets\": 1024", "\"sockets\": " + SOCKETS));
        NodeProcess node = new NodeProcess(
                LIMITED,
                Map.of(
                        "PROXY_CONFIG",
                        file.toString(),
                        "TMPDIR",
                        folder.toString(),
                        "PROXY_MANAGEMENT",
                        "127.0.0.1:" + management));
        assertNotNull(node.awaitLogLine("INFO node: n0 serves"));
        return node;
    }

    private Socket client(String first) throws IOException {
        Socket socket = connect(listen);
        open.add(socket);
        send(socket, first.replace("ID", "9b" + ids++));
        return socket;
    }

    /** One client that stands at that member; what the node answers where it has no room. */
    private String served(ServerSocket by) throws IOException {
        Socket client = client(OPEN);
        by.setSoTimeout(1000);
        try {
            Socket server = by.accept();
            open.add(server);
            assertTrue(reader(server).readLine().startsWith("OPEN"));
            send(server, "UP r\r\n");
        } catch (java.net.SocketTimeoutException notAsked) {
            return reader(client).readLine();
        }
        return reader(client).readLine();
    }

    /** The same for one that comes again when it is told to, as a busy machine may keep a connection from coming up in time. */
    private String servedInTheEnd(ServerSocket by) throws IOException {
        String answer = served(by);
        for (int i = 0; i < 10 && answer.matches("BUSY [0-9]+"); i++) {
            answer = served(by);
        }
        return answer;
    }

    /** All that others want of the node goes on. */
    private void goesOn(NodeProcess node) throws Exception {
        assertTrue(httpGet(management, "/status").startsWith("HTTP/1.1 200 "), "the second address");
        node.sendSignal("HUP");
        assertNotNull(node.awaitReloadLine(), "a reload");
        // Discovery is back, and tells of another member.
        try (ServerSocket back = new ServerSocket()) {
            back.setReuseAddress(true);
            back.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), discovery), 50);
            back.setSoTimeout(6000);
            Socket call = back.accept();
            open.add(call);
            assertTrue(reader(call).readLine().startsWith("GET /discovery/hosts"), "the call to discovery");
            String list = "{\"version\":9,\"full\":true,\"servers\":[{\"id\":\"s-2\",\"addr\":\"127.0.0.1:"
                    + second.getLocalPort()
                    + "\",\"state\":\"SERVING\"},{\"id\":\"s-1\",\"addr\":\"127.0.0.1:" + member.getLocalPort()
                    + "\",\"state\":\"DRAINING\"}]}";
            send(call, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            assertNotNull(node.awaitLogLine("INFO discovery: watching endpoint list from version 9"), "the list");
        }
    }

    private static void leaves(NodeProcess node) throws Exception {
        node.sendSignal("TERM");
        assertNotNull(node.awaitLogLine("INFO node: shutting down"), "SIGTERM");
        assertTrue(node.awaitExit(8));
        assertNull(node.awaitLogLine("the end of its log"));
        // Seen with 1,024 at once: accepting ran ahead, and dials to members and discovery failed for want of
        // descriptors.
        assertTrue(
                node.readLines().stream().noneMatch(l -> l.contains("Too many open files")),
                node.readLines()::toString);
    }

    /** Four times as many as there are descriptors, all at once, half of them with half a line. */
    @Test
    void clientsThatSayNothingFillNothingThatOthersNeed() throws Exception {
        try (NodeProcess node = start()) {
            List<Socket> idle = new ArrayList<>();
            for (int i = 0; i < 4 * SOCKETS; i++) {
                idle.add(client(i % 2 == 0 ? "" : "OPEN half"));
            }
            assertEquals("UP r", servedInTheEnd(member), "idle ones give way to one that is served");
            goesOn(node);
            assertEquals("UP r", servedInTheEnd(second));
            // The first had to go: it was told, and sees an end.
            String told = String.valueOf(reader(idle.get(0)).readLine());
            assertTrue(told.matches("BUSY [0-9]+|ERR|null"), told);
            leaves(node);
        }
    }

    /** Standing clients hold all that clients may hold; who comes then is told to come again, and is served once there is room. */
    @Test
    void standingClientsFillNothingThatOthersNeed() throws Exception {
        try (NodeProcess node = start()) {
            List<Socket> standing = new ArrayList<>();
            String answer = served(member);
            while (answer.equals("UP r")) {
                standing.add(open.get(open.size() - 2));
                answer = served(member);
            }
            assertTrue(standing.size() > 50, standing.size() + " stand");
            assertTrue(answer.matches("BUSY [0-9]+"), answer);
            List<BufferedReader> more = new ArrayList<>();
            for (int i = 0; i < SOCKETS; i++) {
                more.add(reader(client(i % 2 == 0 ? "" : OPEN)));
            }
            for (BufferedReader in : more) {
                turnedAway(in);
            }
            goesOn(node);
            for (Socket s : standing) {
                s.close();
            }
            assertEquals("UP r", servedInTheEnd(second), "service returns by itself");
            leaves(node);
        }
    }

    private static void turnedAway(BufferedReader in) throws IOException {
        try {
            String told = in.readLine();
            assertTrue(told == null || told.matches("BUSY [0-9]+"), told);
            assertNull(told == null ? null : in.readLine());
        } catch (SocketException reset) {
            throw new AssertionError("BUSY or a clean close", reset);
        }
    }
}
