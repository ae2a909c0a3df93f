package tulipshed.management;

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
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.SystemClock;
import tulipshed.transport.XnioEventLoop;

/** The second address between plain sockets on loopback. */
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

    private Socket connect(String says) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(5000);
        socket.getOutputStream().write(says.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private String exchange(String says) throws IOException {
        try (Socket socket = connect(says)) {
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
    void respondsWithStatusOfRequestLine(String call, int status) throws IOException {
        String answer = exchange(call + " HTTP/1.1\r\nHost: n0\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        int body = answer.indexOf("\r\n\r\n") + 4;
        assertTrue(answer.contains("\r\nContent-Length: " + (answer.length() - body) + "\r\n"), answer);
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

    /** Without a bound of their own these would hold the answer back from whoever calls in earnest. */
    @Test
    void incompleteRequestsDoNotDelayCompleteOnesAndTimeOut() throws IOException {
        long before = openDescriptors();
        List<Socket> half = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            half.add(connect(i % 2 == 0 ? "" : "GET /status HT"));
        }
        long sinceNs = System.nanoTime();
        assertTrue(exchange("GET /status HTTP/1.1\r\n\r\n").startsWith("HTTP/1.1 200 "));
        assertTrue(System.nanoTime() - sinceNs < 1_000_000_000L);
        assertEquals("", readToEnd(half.get(0)), "the oldest gave way");
        assertTrue(
                openDescriptors() - before < 100 + 2 * 16 + 10, "the callers' own, and those that the node may take");
        assertTrue(readToEnd(half.get(99)).startsWith("HTTP/1.1 408 "), "the youngest had its time");
        assertTrue(System.nanoTime() - sinceNs < 4_000_000_000L);
        for (Socket s : half) {
            s.close();
        }
    }
}
