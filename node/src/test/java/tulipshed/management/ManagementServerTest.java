package tulipshed.management;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.SystemClock;
import tulipshed.transport.XnioEventLoop;

/** Tests of the management server over plain loopback sockets. */
class ManagementServerTest {
    private volatile boolean serving = true;
    private XnioEventLoop loop;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"));
        Limits limits = Limits.forDescriptors(1024);
        loop = new XnioEventLoop(limits);
        CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();
        loop.execute(() -> {
            SystemClock clock = new SystemClock();
            ProxyCore core = new ProxyCore(clock, limits, config.settings(), 1, loop, NodeLog.silent(), Balancer::new);
            try {
                listening.complete(new ManagementServer(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                clock,
                                limits,
                                loop,
                                core,
                                () -> serving)
                        .address());
            } catch (IOException e) {
                listening.completeExceptionally(e);
            }
        });
        address = listening.get();
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    private Socket connect(String request) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(5000);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = connect(request)) {
            return readToEnd(socket);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "GET /status,200",
        "GET /status/metrics,200",
        "GET /,404",
        "GET /status/,404",
        "POST /nowhere,404",
        "POST /status,405",
        "DELETE /status/metrics,405",
        "GET status,400",
        "frob,400"
    })
    void respondsWithStatusOfRequestLine(String requestLine, int status) throws IOException {
        String response = exchange(requestLine + " HTTP/1.1\r\nHost: n0\r\n\r\n");
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        int bodyStart = response.indexOf("\r\n\r\n") + 4;
        assertTrue(response.contains("\r\nContent-Length: " + (response.length() - bodyStart) + "\r\n"), response);
    }

    @Test
    void statusIs503WhileNotServing() throws IOException {
        serving = false;
        assertTrue(exchange("GET /status HTTP/1.1\r\n\r\n").startsWith("HTTP/1.1 503 "));
    }

    @Test
    void rejectsHeadLongerThanLimit() throws IOException {
        assertTrue(exchange("GET /status HTTP/1.1\r\nx: " + "y".repeat(5000)).startsWith("HTTP/1.1 400 "));
    }

    private static long openDescriptors() {
        return new java.io.File("/proc/self/fd").list().length;
    }

    /** Connections that never complete a request must not exhaust the limit for those that do. */
    @Test
    void incompleteRequestsDoNotDelayCompleteOnesAndTimeOut() throws IOException {
        long descriptorsBefore = openDescriptors();
        List<Socket> incomplete = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            incomplete.add(connect(i % 2 == 0 ? "" : "GET /status HT"));
        }
        long startNs = System.nanoTime();
        assertTrue(exchange("GET /status HTTP/1.1\r\n\r\n").startsWith("HTTP/1.1 200 "));
        assertTrue(System.nanoTime() - startNs < 1_000_000_000L);
        assertEquals("", readToEnd(incomplete.get(0)), "the oldest connection is evicted");
        assertTrue(
                openDescriptors() - descriptorsBefore < 100 + 2 * 16 + 10,
                "at most the descriptors of the clients and of the management server");
        assertTrue(
                readToEnd(incomplete.get(99)).startsWith("HTTP/1.1 408 "),
                "the latest connection has its full timeout");
        assertTrue(System.nanoTime() - startNs < 4_000_000_000L);
        for (Socket socket : incomplete) {
            socket.close();
        }
    }

    /**
     * The timeout starts at the acceptance and is not extended by input. After the response the server continues to read for
     * a short time: closing with input in flight would send a reset, which may overtake the response.
     */
    @Test
    void clientThatSendsOneByteAtATimeGetsItsTimeoutAndNoReset() throws Exception {
        long startNs = System.nanoTime();
        try (Socket socket = connect("")) {
            while (socket.getInputStream().available() == 0) {
                socket.getOutputStream().write('G');
                Thread.sleep(5);
            }
            long respondedNs = System.nanoTime();
            assertTrue(readToEnd(socket).startsWith("HTTP/1.1 408 "));
            assertTrue(
                    respondedNs - startNs > 1_900_000_000L && respondedNs - startNs < 3_000_000_000L,
                    "after " + (respondedNs - startNs) + " ns");
            while (System.nanoTime() - respondedNs < 50_000_000L) {
                assertDoesNotThrow(() -> socket.getOutputStream().write('G'));
            }
        }
    }

    /** A reset connection must free its descriptor and its slot immediately; otherwise others would be evicted for it. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /status/metrics HTTP/1.1\r\n\r\n", "GET /sta"})
    void resetConnectionsAreFreedImmediatelyAndOthersAreServed(String request) throws IOException {
        try (Socket slow = connect("GET /sta")) {
            exchange("GET /status/metrics HTTP/1.1\r\n\r\n");
            long descriptorsBefore = openDescriptors();
            long startedNs = System.nanoTime();
            for (int i = 0; i < 40; i++) {
                try (Socket socket = connect(request)) {
                    socket.setSoLinger(true, 0);
                }
                while (openDescriptors() > descriptorsBefore) {
                    assertTrue(System.nanoTime() - startedNs < 1_500_000_000L, "no connection waits for its timeout");
                }
            }
            slow.getOutputStream().write("tus HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(readToEnd(slow).startsWith("HTTP/1.1 200 "));
        }
    }
}
