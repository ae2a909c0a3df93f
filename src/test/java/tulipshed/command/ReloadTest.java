package tulipshed.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** SIGHUP, given to a node in a process of its own. */
class ReloadTest {
    @TempDir
    private Path folder;

    private Path configure(int listen, int discovery) throws IOException {
        return Files.writeString(folder.resolve("node.json"), Files.readString(Path.of("src/test/resources/node.json"))
                .replaceAll("\"discovery\": *\"[^\"]*\"", "\"discovery\": \"127.0.0.1:" + discovery + "\"")
                .replace(":18080", ":" + listen));
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static void signal(String name, Process node) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, "" + node.pid()).start().waitFor());
    }

    private static String ping(Socket client, BufferedReader in) throws IOException {
        client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
        return in.readLine();
    }

    private static String log(BufferedReader from, String start) throws IOException {
        String line = from.readLine();
        while (line != null && !line.startsWith(start)) {
            line = from.readLine();
        }
        return line;
    }

    /** Without a handler the virtual machine ends on SIGHUP, and all connections with it. */
    @Test
    void aNodeReadsItsConfigurationAgainAndGoesOnAsItIsWhereItCannot() throws Exception {
        int listen;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listen = free.getLocalPort();
        }
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            discovery.setSoTimeout(10_000);
            ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp", System.getProperty("java.class.path"), "tulipshed.command.Main", "serve");
            builder.environment().put("PROXY_CONFIG", configure(listen, 9).toString());
            Process node = builder.redirectErrorStream(true).start();
            try (BufferedReader log = node.inputReader()) {
                log(log, "tulipshed: n0 serves");
                try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listen)) {
                    BufferedReader in = reader(client);
                    assertEquals("PONG", ping(client, in));
                    Files.writeString(folder.resolve("node.json"), "{");
                    signal("HUP", node);
                    assertTrue(log(log, "tulipshed: reload").startsWith("tulipshed: reload, the old settings stay"));
                    configure(listen, discovery.getLocalPort());
                    signal("HUP", node);
                    assertEquals("tulipshed: reload, discovery at /127.0.0.1:" + discovery.getLocalPort(),
                            log(log, "tulipshed: reload"));
                    try (Socket call = discovery.accept()) {
                        assertEquals("GET /discovery/hosts HTTP/1.1", reader(call).readLine());
                    }
                    signal("HUP", node);
                    assertTrue(log(log, "tulipshed: reload") != null, "once more does no harm");
                    assertEquals("PONG", ping(client, in), "the connection has stayed");
                }
                signal("TERM", node);
                log(log, "tulipshed: leaving");
                signal("HUP", node);
                assertTrue(node.waitFor(10, TimeUnit.SECONDS));
                assertEquals(143, node.exitValue(), "ended by SIGTERM, not by SIGHUP");
            } finally {
                node.destroyForcibly();
            }
        }
    }
}
