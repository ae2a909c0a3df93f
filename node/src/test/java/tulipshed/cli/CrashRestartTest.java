package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.listen;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.reserveClosedPort;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.IOException;
import java.net.ConnectException;
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
import tulipshed.testing.NodeConfigFile;
import tulipshed.testing.NodeProcess;

/** A process that is restarted after a crash is ready in time despite any discovery fault. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class CrashRestartTest {
    private static final long READY_TIMEOUT_NS = 10_000_000_000L;

    @TempDir
    private Path directory;

    /** The fault that the requests of a starting node meet in discovery. */
    enum DiscoveryFault {
        CONNECTION_REFUSED,
        NO_RESPONSE,
        OVERLOADED,
        INCOMPLETE_RESPONSE
    }

    private NodeProcess start(int listenPort, int discoveryPort, String name) throws IOException {
        Path nodeDirectory = Files.createDirectories(directory.resolve(name));
        Path config = NodeConfigFile.fromTemplate()
                .listenPort(listenPort)
                .discoveryPort(discoveryPort)
                .writeTo(nodeDirectory);
        return new NodeProcess(Map.of("PROXY_CONFIG", config.toString(), "TMPDIR", nodeDirectory.toString()));
    }

    /** Polls the node as the load balancer in front of it does, until it responds. */
    private static void awaitReady(int listenPort, long startNs) throws IOException, InterruptedException {
        while (true) {
            try (Socket client = connect(listenPort)) {
                send(client, "PING\r\n");
                String answer = reader(client).readLine();
                assertTrue(System.nanoTime() - startNs < READY_TIMEOUT_NS, "ready within 10 s");
                assertEquals("PONG", answer);
                return;
            } catch (ConnectException notYet) {
                assertTrue(System.nanoTime() - startNs < READY_TIMEOUT_NS, "ready within 10 s");
                Thread.sleep(20);
            }
        }
    }

    private static void startDiscovery(ServerSocket listener, DiscoveryFault fault, List<Socket> connections) {
        Thread responder = new Thread(() -> {
            try {
                while (true) {
                    Socket connection = listener.accept();
                    connections.add(connection);
                    if (fault == DiscoveryFault.OVERLOADED) {
                        send(connection, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    } else if (fault == DiscoveryFault.INCOMPLETE_RESPONSE) {
                        send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{");
                    }
                }
            } catch (IOException closed) {
                return;
            }
        });
        responder.setDaemon(true);
        responder.start();
    }

    @ParameterizedTest
    @EnumSource(DiscoveryFault.class)
    void killedProcessIsReadyAgainInTimeDespiteDiscoveryFault(DiscoveryFault fault) throws Exception {
        int listenPort = freeTcpPort();
        List<Socket> connections = new CopyOnWriteArrayList<>();
        try (ServerSocket listener = listen(50);
                Socket closedPort = reserveClosedPort()) {
            boolean isRefused = fault == DiscoveryFault.CONNECTION_REFUSED;
            int discoveryPort = isRefused ? closedPort.getLocalPort() : listener.getLocalPort();
            if (!isRefused) {
                startDiscovery(listener, fault, connections);
            }
            try (NodeProcess first = start(listenPort, discoveryPort, "n")) {
                awaitReady(listenPort, System.nanoTime());
                first.sendSignal("KILL");
                assertTrue(first.awaitExit(5));
            }
            long startNs = System.nanoTime();
            try (NodeProcess second = start(listenPort, discoveryPort, "n")) {
                awaitReady(listenPort, startNs);
                assertTrue(second.isRunning());
            }
        } finally {
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }

    /** All nodes of a tier start at the same time on one machine. */
    @Test
    void manyProcessesStartedAtOnceAreReadyInTime() throws Exception {
        int nodes = 10;
        List<Integer> ports = new ArrayList<>();
        List<NodeProcess> running = new ArrayList<>();
        try (Socket closedPort = reserveClosedPort()) {
            for (int i = 0; i < nodes; i++) {
                ports.add(freeTcpPort());
            }
            long startNs = System.nanoTime();
            for (int i = 0; i < nodes; i++) {
                running.add(start(ports.get(i), closedPort.getLocalPort(), "n" + i));
            }
            for (int port : ports) {
                awaitReady(port, startNs);
            }
        } finally {
            running.forEach(NodeProcess::close);
        }
    }
}
