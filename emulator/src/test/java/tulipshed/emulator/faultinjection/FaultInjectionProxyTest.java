package tulipshed.emulator.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tulipshed.emulator.loadtest.LinkObserver;
import tulipshed.emulator.model.RandomStreams;

/** One link between plain sockets: the node's end dials, the target's end listens. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class FaultInjectionProxyTest {
    private static final LinkState HOLDS_OUTBOUND = new LinkState(true, false, false, 0, 0);
    private static final LinkState HOLDS_INBOUND = new LinkState(false, true, false, 0, 0);
    private static final LinkState BLACKHOLE = new LinkState(true, true, true, 0, 0);
    private final BlockingQueue<String> reports = new LinkedBlockingQueue<>();
    private FaultInjectionProxy proxy;
    private ServerSocket target;
    private ProxiedLink link;

    @BeforeEach
    void open() throws IOException {
        proxy = new FaultInjectionProxy(RandomStreams.random(1, 0, 0));
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        target.setSoTimeout(5000);
        link = proxy.openLink((InetSocketAddress) target.getLocalSocketAddress(), new LinkObserver() {
            @Override
            public void onFirstLine(Object connection, String line) {
                reports.add("first " + line);
            }

            @Override
            public void onClosed(Object connection) {
                reports.add("over");
            }
        });
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        proxy.close();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(link.address().getAddress(), link.address().getPort());
        s.setSoTimeout(5000);
        s.setTcpNoDelay(true);
        return s;
    }

    private Socket accept() throws IOException {
        Socket s = target.accept();
        s.setSoTimeout(5000);
        s.setTcpNoDelay(true);
        return s;
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String receive(Socket s, int bytes) throws IOException {
        return new String(s.getInputStream().readNBytes(bytes), StandardCharsets.ISO_8859_1);
    }

    private void setState(LinkState state) throws InterruptedException {
        onProxyThread(() -> link.setState(state));
    }

    private void onProxyThread(Runnable action) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        proxy.execute(() -> {
            action.run();
            done.countDown();
        });
        assertTrue(done.await(5, TimeUnit.SECONDS));
    }

    /** Nothing comes in a time in which all that is not held would have come many times over. */
    private static void assertNothingArrives(Socket s) throws IOException {
        s.setSoTimeout(150);
        assertThrows(SocketTimeoutException.class, () -> s.getInputStream().read());
        s.setSoTimeout(5000);
    }

    @Test
    void aSoundLinkPassesBytesAndEndsOnAsTheyAre() throws Exception {
        try (Socket node = connect();
                Socket there = accept()) {
            send(node, "OPEN 1");
            send(node, "7 k\r\nmore");
            assertEquals("OPEN 17 k\r\nmore", receive(there, 15));
            send(there, "UP r\r\n");
            assertEquals("UP r\r\n", receive(node, 6));
            String much = "x".repeat(3_000_000);
            Thread writer = new Thread(() -> assertThrowsNothing(() -> send(there, much)));
            writer.start();
            assertEquals(much, receive(node, much.length()), "more than it holds at a time");
            writer.join();
            node.shutdownOutput();
            assertEquals(-1, there.getInputStream().read(), "an end of one side is no end of the other");
            send(there, "last");
            there.shutdownOutput();
            assertEquals("last", receive(node, 10));
            assertEquals("first OPEN 17 k", reports.poll(5, TimeUnit.SECONDS));
            assertEquals("over", reports.poll(5, TimeUnit.SECONDS));
            assertTrue(reports.isEmpty(), "each is reported once");
        }
    }

    private interface Io {
        void run() throws IOException;
    }

    private static void assertThrowsNothing(Io action) {
        try {
            action.run();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Bytes and end that are read in one round, as both sockets of a connection may be ready in it, are reports in order. */
    @Test
    void aConnectionThatEndsAtOnceHasBegunBefore() throws Exception {
        for (int i = 0; i < 300; i++) {
            try (Socket node = connect()) {
                send(node, "OPEN " + i + " k\r\n");
            }
            assertEquals("first OPEN " + i + " k", reports.poll(5, TimeUnit.SECONDS));
            assertEquals("over", reports.poll(5, TimeUnit.SECONDS));
            accept().close();
        }
    }

    @Test
    void aResetIsAReset() throws Exception {
        try (Socket node = connect();
                Socket there = accept()) {
            send(node, "OPEN 1 k\r\n");
            receive(there, 10);
            there.setSoLinger(true, 0);
            there.close();
            assertThrows(SocketException.class, () -> node.getInputStream().read());
            assertEquals("first OPEN 1 k", reports.poll(5, TimeUnit.SECONDS));
            assertEquals("over", reports.poll(5, TimeUnit.SECONDS));
        }
    }

    @Test
    void whatIsHeldInOneDirectionComesLateAndTheOtherGoesOn() throws Exception {
        try (Socket node = connect();
                Socket there = accept()) {
            setState(HOLDS_OUTBOUND);
            send(node, "OPEN 1 k\r\n");
            send(there, "hello");
            assertEquals("hello", receive(node, 5));
            assertNothingArrives(there);
            assertEquals("first OPEN 1 k", reports.poll(5, TimeUnit.SECONDS), "sent, as the node knows it");
            setState(HOLDS_INBOUND);
            assertEquals("OPEN 1 k\r\n", receive(there, 10));
            send(there, "UP r\r\n");
            assertNothingArrives(node);
            node.close();
            assertEquals("over", reports.poll(5, TimeUnit.SECONDS), "the node has ended it, whatever is on its way");
            setState(LinkState.HEALTHY);
            assertTrue(
                    proxy.maxLatenessMs() < 100,
                    "what was held is not the proxy's own delay: " + proxy.maxLatenessMs());
        }
    }

    @Test
    void aDeafLinkAcceptsAndSaysNothingAndResetsOnceItIsOver() throws Exception {
        setState(BLACKHOLE);
        try (Socket node = connect()) {
            send(node, "OPEN 1 k\r\n");
            assertNothingArrives(node);
            target.setSoTimeout(100);
            assertThrows(SocketTimeoutException.class, () -> target.accept());
            setState(LinkState.HEALTHY);
            assertThrows(SocketException.class, () -> {
                node.getInputStream().read();
                node.getInputStream().read();
            });
        }
        target.setSoTimeout(5000);
        try (Socket node = connect();
                Socket there = accept()) {
            send(node, "OPEN 2 k\r\n");
            assertEquals("OPEN 2 k\r\n", receive(there, 10));
        }
    }

    @Test
    void aSlowLinkDelaysEachWayAndKeepsTheOrder() throws Exception {
        setState(new LinkState(false, false, false, 60, 40));
        try (Socket node = connect();
                Socket there = accept()) {
            long began = System.nanoTime();
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 50; i++) {
                send(node, "line " + i + "\r\n");
                all.append("line ").append(i).append("\r\n");
            }
            assertEquals(all.toString(), receive(there, all.length()));
            send(there, "x");
            receive(node, 1);
            assertTrue((System.nanoTime() - began) / 1e6 >= 120, "there and back");
        }
    }

    @Test
    void aResetInTheMiddleOfALineLetsHalfOfItThrough() throws Exception {
        try (Socket node = connect();
                Socket there = accept()) {
            setState(HOLDS_INBOUND);
            send(there, "UP 12345678");
            send(node, "x");
            receive(there, 1);
            // The piece has been read once another one, sent after it, has made its way.
            onProxyThread(() -> {});
            long untilNs = System.nanoTime() + 5_000_000_000L;
            while (there.getInputStream().available() > 0 && System.nanoTime() < untilNs) {
                Thread.onSpinWait();
            }
            assertNothingArrives(node);
            onProxyThread(() -> link.reset(1, true));
            StringBuilder got = new StringBuilder();
            assertThrows(SocketException.class, () -> {
                for (int c = node.getInputStream().read();
                        c >= 0;
                        c = node.getInputStream().read()) {
                    got.append((char) c);
                }
            });
            assertTrue("UP 12".startsWith(got.toString()), "no more than half: " + got);
        }
    }

    @Test
    void whereNobodyListensTheNodeIsReset() throws Exception {
        target.close();
        try (Socket node = connect()) {
            assertThrows(SocketException.class, () -> {
                send(node, "OPEN 1 k\r\n");
                node.getInputStream().read();
                node.getInputStream().read();
            });
        }
    }
}
