package tulipshed.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.NodeProcess.connect;
import static tulipshed.testing.NodeProcess.freePort;
import static tulipshed.testing.NodeProcess.reader;
import static tulipshed.testing.NodeProcess.say;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeProcess;

/** SIGHUP, given to a node in a process of its own. */
class ReloadTest {
    @TempDir
    private Path folder;

    private Path configure(int listen, int discovery) throws IOException {
        return Files.writeString(folder.resolve("node.json"), Files.readString(Path.of("src/test/resources/node.json"))
                .replaceAll("\"discovery\": *\"[^\"]*\"", "\"discovery\": \"127.0.0.1:" + discovery + "\"")
                .replace(":18080", ":" + listen));
    }

    private static String ping(Socket client, BufferedReader in) throws IOException {
        say(client, "PING\r\n");
        return in.readLine();
    }

    /** Without a handler the virtual machine ends on SIGHUP, and all connections with it. */
    @Test
    void aNodeReadsItsConfigurationAgainAndGoesOnAsItIsWhereItCannot() throws Exception {
        int listen = freePort();
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            discovery.setSoTimeout(10_000);
            try (NodeProcess node = new NodeProcess(Map.of("PROXY_CONFIG", configure(listen, 9).toString()))) {
                node.log("tulipshed: n0 serves");
                try (Socket client = connect(listen)) {
                    BufferedReader in = reader(client);
                    assertEquals("PONG", ping(client, in));
                    Files.writeString(folder.resolve("node.json"), "{");
                    node.signal("HUP");
                    assertTrue(node.log("tulipshed: reload").startsWith("tulipshed: reload, the old settings stay"));
                    configure(listen, discovery.getLocalPort());
                    node.signal("HUP");
                    assertEquals("tulipshed: reload, discovery at /127.0.0.1:" + discovery.getLocalPort(),
                            node.log("tulipshed: reload"));
                    try (Socket call = discovery.accept()) {
                        assertEquals("GET /discovery/hosts HTTP/1.1", reader(call).readLine());
                    }
                    node.signal("HUP");
                    assertTrue(node.log("tulipshed: reload") != null, "once more does no harm");
                    assertEquals("PONG", ping(client, in), "the connection has stayed");
                }
                node.signal("TERM");
                node.log("tulipshed: leaving");
                node.signal("HUP");
                assertTrue(node.ended(10));
                assertEquals(143, node.process.exitValue(), "ended by SIGTERM, not by SIGHUP");
            }
        }
    }
}
