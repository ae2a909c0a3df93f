package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.connect;
import static tulipshed.testing.LoopbackSockets.listen;
import static tulipshed.testing.LoopbackSockets.reader;
import static tulipshed.testing.LoopbackSockets.send;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.testing.ListenerBacklog;
import tulipshed.testing.NodeConfigFile;
import tulipshed.time.SystemClock;

/**
 * A node counts as notified of a change of the endpoint list 6 s after discovery has it and is reachable, whatever
 * fault earlier requests met, so it must have the change by then. For each fault a node runs against a faulty
 * discovery, which then recovers and lists one endpoint as draining. All faults run concurrently, as each takes
 * seconds.
 */
class DrainNotificationTest {
    private static final double NOTIFICATION_LIMIT_MS = 6_000;

    @TempDir
    private Path directory;

    /** The fault that the node's requests meet until discovery recovers. */
    private enum DiscoveryFault {
        CONNECTION_REFUSED,
        CONNECT_HANGS,
        OVERLOADED,
        CONNECTION_RESET,
        NO_RESPONSE,
        SLOW_HEADERS,
        INCOMPLETE_BODY,
        ADDRESS_CHANGED
    }

    /**
     * A discovery stub that fails requests until it recovers, and signals when it first listed the draining endpoint.
     */
    private static final class FaultyDiscovery implements AutoCloseable {
        private final DiscoveryFault fault;
        private final String list;
        private final ConcurrentLinkedQueue<Socket> connections = new ConcurrentLinkedQueue<>();
        private final List<Socket> backlog = new ArrayList<>();
        private final CountDownLatch requested = new CountDownLatch(1);
        private final int port;
        private final CountDownLatch notified = new CountDownLatch(1);
        private ServerSocket socket;
        private volatile boolean recovered;

        FaultyDiscovery(DiscoveryFault fault, int draining, int serving) throws IOException {
            this.fault = fault;
            list = "{\"version\":9,\"full\":true,\"servers\":[" + entry("s-1", draining, "DRAINING") + ","
                    + entry("s-2", serving, "SERVING") + "]}";
            socket = new ServerSocket(
                    0, fault == DiscoveryFault.CONNECT_HANGS ? 1 : 50, InetAddress.getLoopbackAddress());
            port = socket.getLocalPort();
            switch (fault) {
                case CONNECTION_REFUSED -> socket.close();
                case CONNECT_HANGS -> backlog.addAll(ListenerBacklog.fill(socket));
                default -> serve();
            }
        }

        private static String entry(String id, int port, String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"state\":\"" + state + "\"}";
        }

        private void serve() {
            Thread acceptor = new Thread(() -> {
                try {
                    while (true) {
                        Socket connection = socket.accept();
                        connections.add(connection);
                        Thread responder = new Thread(() -> respond(connection));
                        responder.setDaemon(true);
                        responder.start();
                    }
                } catch (IOException closed) {
                    return;
                }
            });
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void respond(Socket connection) {
            try {
                BufferedReader in = reader(connection);
                while (in.readLine() != null) {
                    while (!in.readLine().isEmpty()) {}
                    if (recovered) {
                        send(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                        notified.countDown();
                        in.readLine();
                        return;
                    }
                    requested.countDown();
                    fail(connection);
                }
            } catch (IOException | InterruptedException connectionEnded) {
                return;
            }
        }

        private void fail(Socket connection) throws IOException, InterruptedException {
            switch (fault) {
                case OVERLOADED -> send(connection, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                case CONNECTION_RESET -> {
                    connection.setSoLinger(true, 0);
                    connection.close();
                }
                case INCOMPLETE_BODY -> send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
                case SLOW_HEADERS -> {
                    for (char c : ("HTTP/1.1 200 OK\r\nX: " + "x".repeat(4000)).toCharArray()) {
                        send(connection, String.valueOf(c));
                        Thread.sleep(10);
                    }
                }
                default -> {}
            }
        }

        /** Makes discovery reachable; it then lists the draining endpoint. */
        void recover() throws IOException {
            recovered = true;
            if (fault == DiscoveryFault.CONNECTION_REFUSED) {
                socket = new ServerSocket();
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
            }
            if (fault == DiscoveryFault.CONNECTION_REFUSED || fault == DiscoveryFault.CONNECT_HANGS) {
                serve();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket connection : connections) {
                connection.close();
            }
            for (Socket connection : backlog) {
                connection.close();
            }
        }
    }

    private NodeConfig config(DiscoveryFault fault, int discoveryPort, int endpointPort) throws IOException {
        // A short poll interval, so that each node soon has a failed request to retry.
        Path file = NodeConfigFile.fromTemplate()
                .listenPort(0)
                .endpointPort(endpointPort)
                .discoveryPort(discoveryPort)
                .replace("\"AskWithinS\": 10.0", "\"AskWithinS\": 0.25")
                .writeTo(Files.createDirectories(directory.resolve(fault + "-" + discoveryPort)));
        return NodeConfig.load(Map.of("PROXY_CONFIG", file.toString()));
    }

    /**
     * Returns the time from discovery's recovery to the notification; asserts that the draining endpoint gets no
     * request.
     */
    private double notificationMs(DiscoveryFault fault) throws Exception {
        try (ServerSocket draining = listen(50);
                ServerSocket serving = listen(50);
                FaultyDiscovery discovery =
                        new FaultyDiscovery(fault, draining.getLocalPort(), serving.getLocalPort());
                FaultyDiscovery discoveryAtNewAddress = new FaultyDiscovery(
                        DiscoveryFault.OVERLOADED, draining.getLocalPort(), serving.getLocalPort())) {
            List<String> log = Collections.synchronizedList(new ArrayList<>());
            CountDownLatch failed = new CountDownLatch(2);
            Node node = Node.start(NodeOptions.withoutHotRestart(
                    config(fault, discovery.port, draining.getLocalPort()),
                    OperatorsFile.EMPTY,
                    Limits.forDescriptors(1024),
                    new SystemClock(),
                    NodeLog.to(line -> {
                        log.add(line);
                        if (line.startsWith("WARN discovery: ")) {
                            failed.countDown();
                        }
                    })));
            FaultyDiscovery recoveredDiscovery = discovery;
            if (fault == DiscoveryFault.ADDRESS_CHANGED) {
                // A request is pending when a reload changes the address.
                assertTrue(discovery.requested.await(20, TimeUnit.SECONDS));
                discoveryAtNewAddress.recover();
                recoveredDiscovery = discoveryAtNewAddress;
                node.reload(config(fault, discoveryAtNewAddress.port, draining.getLocalPort()), OperatorsFile.EMPTY);
            } else {
                assertTrue(failed.await(20, TimeUnit.SECONDS), fault + ": " + log);
                discovery.recover();
            }
            long recoveryNs = System.nanoTime();
            assertTrue(recoveredDiscovery.notified.await(20, TimeUnit.SECONDS), fault + ": " + log);
            double tookMs = (System.nanoTime() - recoveryNs) / 1e6;
            assertRequestsGoToServingEndpoint(node, serving, fault);
            return tookMs;
        }
    }

    private static void assertRequestsGoToServingEndpoint(Node node, ServerSocket serving, DiscoveryFault fault)
            throws IOException {
        for (int i = 0; i < 5; i++) {
            try (Socket client = connect(node.address())) {
                send(client, "OPEN " + fault + i + " k c=slot-board,t=melnik-terminal,d=4000\r\n");
                serving.setSoTimeout(5000);
                try (Socket server = serving.accept()) {
                    assertTrue(reader(server).readLine().startsWith("OPEN"));
                    send(server, "UP r\r\n");
                    assertEquals("UP r", reader(client).readLine());
                }
            }
        }
    }

    @Test
    void notifiesOfDrainingEndpointInTimeAfterEveryDiscoveryFault() throws Exception {
        Map<DiscoveryFault, Future<Double>> notificationMs = new EnumMap<>(DiscoveryFault.class);
        ExecutorService executor = Executors.newFixedThreadPool(DiscoveryFault.values().length);
        try {
            for (DiscoveryFault fault : DiscoveryFault.values()) {
                notificationMs.put(fault, executor.submit(() -> notificationMs(fault)));
            }
            for (DiscoveryFault fault : DiscoveryFault.values()) {
                double ms = notificationMs.get(fault).get();
                assertTrue(
                        ms < NOTIFICATION_LIMIT_MS, fault + ": notified " + ms + " ms after discovery had recovered");
            }
        } finally {
            executor.shutdownNow();
        }
    }
}
