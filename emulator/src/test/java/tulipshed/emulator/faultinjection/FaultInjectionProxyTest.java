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
import tulipshed.emulator.loadtest.NetworkPaths;
import tulipshed.emulator.model.RandomStreams;

/** One link between plain sockets: the node's end dials, the member's end listens. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class FaultInjectionProxyTest {
    private static final LinkState OUT = new LinkState(true, false, false, 0, 0);
    private static final LinkState BACK = new LinkState(false, true, false, 0, 0);
    private static final LinkState DEAF = new LinkState(true, true, true, 0, 0);
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private FaultInjectionProxy relays;
    private ServerSocket member;
    private ProxiedLink link;

    @BeforeEach
    void open() throws IOException {
        relays = new FaultInjectionProxy(RandomStreams.random(1, 0, 0));
        member = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        member.setSoTimeout(5000);
        link = relays.link((InetSocketAddress) member.getLocalSocketAddress(), new NetworkPaths.Ear() {
            @Override
            public void first(Object connection, String line) {
                told.add("first " + line);
            }

            @Override
            public void over(Object connection) {
                told.add("over");
            }
        });
    }

    @AfterEach
    void close() throws IOException {
        member.close();
        relays.close();
    }

    private Socket dial() throws IOException {
        Socket s = new Socket(link.address().getAddress(), link.address().getPort());
        s.setSoTimeout(5000);
        s.setTcpNoDelay(true);
        return s;
    }

    private Socket accept() throws IOException {
        Socket s = member.accept();
        s.setSoTimeout(5000);
        s.setTcpNoDelay(true);
        return s;
    }

    private static void say(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String hear(Socket s, int bytes) throws IOException {
        return new String(s.getInputStream().readNBytes(bytes), StandardCharsets.ISO_8859_1);
    }

    private void become(LinkState c) throws InterruptedException {
        on(() -> link.become(c));
    }

    private void on(Runnable what) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        relays.on(() -> {
            what.run();
            done.countDown();
        });
        assertTrue(done.await(5, TimeUnit.SECONDS));
    }

    /** Nothing comes in a time in which all that is not held would have come many times over. */
    private static void nothingComes(Socket s) throws IOException {
        s.setSoTimeout(150);
        assertThrows(SocketTimeoutException.class, () -> s.getInputStream().read());
        s.setSoTimeout(5000);
    }

    @Test
    void aSoundLinkPassesBytesAndEndsOnAsTheyAre() throws Exception {
        try (Socket node = dial();
                Socket there = accept()) {
            say(node, "OPEN 1");
            say(node, "7 k\r\nmore");
            assertEquals("OPEN 17 k\r\nmore", hear(there, 15));
            say(there, "UP r\r\n");
            assertEquals("UP r\r\n", hear(node, 6));
            String much = "x".repeat(3_000_000);
            Thread writer = new Thread(() -> assertThrowsNothing(() -> say(there, much)));
            writer.start();
            assertEquals(much, hear(node, much.length()), "more than it holds at a time");
            writer.join();
            node.shutdownOutput();
            assertEquals(-1, there.getInputStream().read(), "an end of one side is no end of the other");
            say(there, "last");
            there.shutdownOutput();
            assertEquals("last", hear(node, 10));
            assertEquals("first OPEN 17 k", told.poll(5, TimeUnit.SECONDS));
            assertEquals("over", told.poll(5, TimeUnit.SECONDS));
            assertTrue(told.isEmpty(), "each is told once");
        }
    }

    private interface Io {
        void run() throws IOException;
    }

    private static void assertThrowsNothing(Io what) {
        try {
            what.run();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Bytes and end that are read in one round, as both sockets of a connection may be ready in it, are told in order. */
    @Test
    void aConnectionThatEndsAtOnceHasBegunBefore() throws Exception {
        for (int i = 0; i < 300; i++) {
            try (Socket node = dial()) {
                say(node, "OPEN " + i + " k\r\n");
            }
            assertEquals("first OPEN " + i + " k", told.poll(5, TimeUnit.SECONDS));
            assertEquals("over", told.poll(5, TimeUnit.SECONDS));
            accept().close();
        }
    }

    @Test
    void aResetIsAReset() throws Exception {
        try (Socket node = dial();
                Socket there = accept()) {
            say(node, "OPEN 1 k\r\n");
            hear(there, 10);
            there.setSoLinger(true, 0);
            there.close();
            assertThrows(SocketException.class, () -> node.getInputStream().read());
            assertEquals("first OPEN 1 k", told.poll(5, TimeUnit.SECONDS));
            assertEquals("over", told.poll(5, TimeUnit.SECONDS));
        }
    }

    @Test
    void whatIsHeldInOneDirectionComesLateAndTheOtherGoesOn() throws Exception {
        try (Socket node = dial();
                Socket there = accept()) {
            become(OUT);
            say(node, "OPEN 1 k\r\n");
            say(there, "hello");
            assertEquals("hello", hear(node, 5));
            nothingComes(there);
            assertEquals("first OPEN 1 k", told.poll(5, TimeUnit.SECONDS), "sent, as the node knows it");
            become(BACK);
            assertEquals("OPEN 1 k\r\n", hear(there, 10));
            say(there, "UP r\r\n");
            nothingComes(node);
            node.close();
            assertEquals("over", told.poll(5, TimeUnit.SECONDS), "the node has ended it, whatever is on its way");
            become(LinkState.SOUND);
            assertTrue(relays.lateMs() < 100, "what was held is not the relays' own delay: " + relays.lateMs());
        }
    }

    @Test
    void aDeafLinkAcceptsAndSaysNothingAndResetsOnceItIsOver() throws Exception {
        become(DEAF);
        try (Socket node = dial()) {
            say(node, "OPEN 1 k\r\n");
            nothingComes(node);
            member.setSoTimeout(100);
            assertThrows(SocketTimeoutException.class, () -> member.accept());
            become(LinkState.SOUND);
            assertThrows(SocketException.class, () -> {
                node.getInputStream().read();
                node.getInputStream().read();
            });
        }
        member.setSoTimeout(5000);
        try (Socket node = dial();
                Socket there = accept()) {
            say(node, "OPEN 2 k\r\n");
            assertEquals("OPEN 2 k\r\n", hear(there, 10));
        }
    }

    @Test
    void aSlowLinkDelaysEachWayAndKeepsTheOrder() throws Exception {
        become(new LinkState(false, false, false, 60, 40));
        try (Socket node = dial();
                Socket there = accept()) {
            long began = System.nanoTime();
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 50; i++) {
                say(node, "line " + i + "\r\n");
                all.append("line ").append(i).append("\r\n");
            }
            assertEquals(all.toString(), hear(there, all.length()));
            say(there, "x");
            hear(node, 1);
            assertTrue((System.nanoTime() - began) / 1e6 >= 120, "there and back");
        }
    }

    @Test
    void aResetInTheMiddleOfALineLetsHalfOfItThrough() throws Exception {
        try (Socket node = dial();
                Socket there = accept()) {
            become(BACK);
            say(there, "UP 12345678");
            say(node, "x");
            hear(there, 1);
            // The piece has been read once another one, sent after it, has made its way.
            on(() -> {});
            long untilNs = System.nanoTime() + 5_000_000_000L;
            while (there.getInputStream().available() > 0 && System.nanoTime() < untilNs) {
                Thread.onSpinWait();
            }
            nothingComes(node);
            on(() -> link.reset(1, true));
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
        member.close();
        try (Socket node = dial()) {
            assertThrows(SocketException.class, () -> {
                say(node, "OPEN 1 k\r\n");
                node.getInputStream().read();
                node.getInputStream().read();
            });
        }
    }
}
