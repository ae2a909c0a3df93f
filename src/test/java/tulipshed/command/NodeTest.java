package tulipshed.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.quic.QuicConfig;
import tulipshed.time.SystemClock;

/** A whole node on loopback: how it leaves, and what it does when it has no descriptors left. */
class NodeTest {
    private static final String OPEN = "OPEN ID k c=slot-board,t=melnik-terminal,d=4000\r\n";
    @TempDir
    private Path folder;
    private final List<String> log = new CopyOnWriteArrayList<>();
    private int ids;
    private ServerSocket member;
    private Node node;

    @BeforeEach
    void start() throws IOException {
        member = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        member.close();
    }

    private void node(int descriptors) throws IOException {
        node(descriptors, null);
    }

    private void node(int descriptors, QuicConfig quic) throws IOException {
        Path file = folder.resolve("node.json");
        Files.writeString(file, Files.readString(Path.of("src/test/resources/node.json"))
                .replace(":18080", ":0").replace(":18081", ":" + member.getLocalPort()));
        node = new Node(NodeConfig.load(Map.of("PROXY_CONFIG", file.toString())), quic,
                Limits.forDescriptors(descriptors), new SystemClock(), log::add);
    }

    private Socket client(String first) throws IOException {
        Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
        socket.setSoTimeout(5000);
        socket.getOutputStream().write(first.replace("ID", "9b" + ids++).getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private Socket serve() throws IOException {
        Socket server = member.accept();
        assertTrue(reader(server).readLine().startsWith("OPEN"));
        server.getOutputStream().write("UP r\r\n".getBytes(StandardCharsets.US_ASCII));
        return server;
    }

    @Test
    void aNodeThatLeavesTakesWhatStillComesAnswersAllAndMovesItsClients() throws Exception {
        node(1024);
        try (Socket standing = client(OPEN); Socket first = serve()) {
            BufferedReader standingIn = reader(standing);
            assertEquals("UP r", standingIn.readLine());
            Thread leaving = new Thread(node::leave);
            leaving.start();
            while (!node.isLeaving()) {
                Thread.onSpinWait();
            }
            try (Socket late = client("PING\r\n" + OPEN); Socket second = serve(); Socket owed = client(OPEN);
                    Socket silent = member.accept()) {
                BufferedReader lateIn = reader(late);
                assertEquals("UP r", lateIn.readLine(), "taken, and the ping before it not answered");
                long sinceNs = System.nanoTime();
                assertEquals("MOVE", standingIn.readLine());
                // A neighbour that left just before is not back yet: whoever moves early finds nobody.
                assertTrue(System.nanoTime() - sinceNs > 1_000_000_000L, "served for as long as there is time");
                assertNull(standingIn.readLine());
                assertEquals("MOVE", lateIn.readLine());
                assertTrue(reader(owed).readLine().startsWith("BUSY"), "owed an answer until the end");
                leaving.join(5000);
                assertFalse(leaving.isAlive());
            }
        }
    }

    @Test
    void theSecondFrontListensWhereItsFileSaysAndNotOnThePlatform() throws IOException {
        Path file = folder.resolve("quic.json");
        Files.writeString(file, Files.readString(Path.of("deploy/quic.example.json")).replace(":4433", ":0"));
        var names = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json")).names();
        node(1024, QuicConfig.load(file, names));
        assertTrue(log.stream().anyMatch(l -> l.startsWith("tulipshed: QUIC on /127.0.0.1:")), log.toString());
        node.leave();
        log.clear();
        node(1024, QuicConfig.load(Path.of("deploy/quic.json"), names));
        assertFalse(log.stream().anyMatch(l -> l.contains("QUIC")), log.toString());
    }

    /** Without this a node at its limit would take clients that it cannot connect onwards, or not take any. */
    @Test
    void aNodeWithoutDescriptorsTurnsAwayCleanlyAndGoesOn() throws IOException {
        node(64 + 4);
        try (Socket one = client(OPEN); Socket first = serve()) {
            assertEquals("UP r", reader(one).readLine());
            Socket two = client(OPEN);
            Socket second = serve();
            assertEquals("UP r", reader(two).readLine());
            try (Socket three = client(OPEN)) {
                BufferedReader in = reader(three);
                assertTrue(in.readLine().matches("BUSY [0-9]+"), "and told when to come again");
                assertNull(in.readLine());
            }
            second.close();
            assertNull(reader(two).readLine());
            two.close();
            assertEquals("UP r", again());
        }
    }

    /** Seen on a rude day: hundreds that say nothing took the descriptors, and 957 others were turned away. */
    @Test
    void clientsThatSayNothingGiveWayToOthers() throws IOException {
        node(64 + 16);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(client(i % 2 == 0 ? "" : "frob\r\n"));
        }
        for (int i = 0; i < 3; i++) {
            try (Socket one = client(OPEN); Socket server = serve()) {
                assertEquals("UP r", reader(one).readLine());
            }
        }
        String first = reader(silent.get(0)).readLine();
        assertTrue(first != null && first.matches("BUSY [0-9]+"), first);
        for (Socket s : silent) {
            s.close();
        }
    }

    /** Tries until the node has noticed what was closed. */
    private String again() throws IOException {
        while (true) {
            Socket socket = client(OPEN);
            member.setSoTimeout(200);
            try (Socket server = serve()) {
                return reader(socket).readLine();
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
            }
        }
    }
}
