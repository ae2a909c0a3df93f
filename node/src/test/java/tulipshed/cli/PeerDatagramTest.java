package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.testing.LoopbackSockets.freeTcpPort;
import static tulipshed.testing.LoopbackSockets.freeUdpPort;
import static tulipshed.testing.LoopbackSockets.httpGet;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeProcess;

/** Datagrams to nodes in processes of their own, from another node's address and from strangers. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class PeerDatagramTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    @TempDir
    private Path folder;

    private DatagramSocket peer;
    private DatagramSocket stranger;
    private int hears;
    private int staff;

    @BeforeEach
    void open() throws IOException {
        peer = new DatagramSocket(0, LOOPBACK);
        stranger = new DatagramSocket(0, LOOPBACK);
        hears = freeUdpPort();
        staff = freeTcpPort();
    }

    @AfterEach
    void close() {
        peer.close();
        stranger.close();
    }

    /** A node that is number 0 of two; number 1 is ours. */
    private NodeProcess node(boolean allowed) throws IOException {
        Path file = configure(allowed);
        NodeProcess node = new NodeProcess(Map.of(
                "PROXY_CONFIG",
                file.toString(),
                "PROXY_MANAGEMENT",
                "127.0.0.1:" + staff,
                "TMPDIR",
                folder.toString()));
        node.awaitLogLine("INFO node: n0 serves");
        return node;
    }

    private Path configure(boolean allowed) throws IOException {
        return Files.writeString(
                folder.resolve("node.json"),
                Files.readString(Path.of("src/test/resources/node.json"))
                        .replace(
                                "\"127.0.0.1:18080\",",
                                "\"127.0.0.1:" + freeTcpPort() + "\", \"peer_listen\": \"127.0.0.1:" + hears
                                        + "\", \"peers\": [\"127.0.0.1:" + hears + "\", \"127.0.0.1:"
                                        + peer.getLocalPort()
                                        + "\"], \"peers_all\": \"127.0.0.1:" + peer.getLocalPort() + "\",")
                        .replace("\"Peers\": false", "\"Peers\": " + allowed));
    }

    private void send(DatagramSocket from, int bytes) throws IOException {
        from.send(new DatagramPacket(new byte[bytes], bytes, new InetSocketAddress(LOOPBACK, hears)));
    }

    private long figure(String name) throws IOException {
        Matcher m = Pattern.compile("\"" + name + "\":(\\d+)").matcher(httpGet(staff, "/status/metrics"));
        return m.find() ? Long.parseLong(m.group(1)) : -1;
    }

    /** Waits until the figures account for so many datagrams; on loopback none that fits the buffer is lost. */
    private void heard(long all) throws IOException {
        long untilNanos = System.nanoTime() + 10_000_000_000L;
        while (figure("peers_received") + figure("peers_dropped") < all && System.nanoTime() < untilNanos) {
            Thread.onSpinWait();
        }
        assertEquals(all, figure("peers_received") + figure("peers_dropped"));
    }

    @Test
    void onlyWhatComesFromAnotherNodeAndFitsIsTaken() throws Exception {
        try (NodeProcess node = node(true)) {
            for (int bytes : List.of(1, 100, 256, 257, 1400)) {
                send(peer, bytes);
                send(stranger, bytes);
            }
            heard(10);
            assertEquals(3, figure("peers_received"));
            for (int i = 0; i < 600; i++) {
                send(peer, 8);
            }
            heard(610);
            // What is sent at once falls into two of its seconds at most.
            assertTrue(figure("peers_received") <= 2 * 200, "of 600 at once: " + figure("peers_received"));
            assertEquals(0, figure("peers_sent"), "nothing is sent until something gains by it");
            assertTrue(node.isRunning());
        }
    }

    @Test
    void whereTheSettingsAllowNoneThereIsNoSocketUntilAReloadAllowsThem() throws Exception {
        try (NodeProcess node = node(false)) {
            new DatagramSocket(hears, LOOPBACK).close();
            assertEquals(-1, figure("peers_received"), "no figure either");
            configure(true);
            node.sendSignal("HUP");
            assertFalse(node.awaitReloadLine().contains("rejected"));
            // A restart of the other node's address is no matter; its datagrams are heard once the socket is open.
            long untilNanos = System.nanoTime() + 10_000_000_000L;
            while (figure("peers_received") < 1 && System.nanoTime() < untilNanos) {
                send(peer, 8);
            }
            assertTrue(figure("peers_received") >= 1);
            configure(false);
            node.sendSignal("HUP");
            node.awaitReloadLine();
            new DatagramSocket(hears, LOOPBACK).close();
        }
    }

    /** Talk only adds: a node whose address for it is taken serves all the same, and hears once it is free. */
    @Test
    void aNodeWhoseAddressIsTakenServesWithoutAndHearsOnceItIsFree() throws Exception {
        DatagramSocket taken = new DatagramSocket(hears, LOOPBACK);
        try (NodeProcess node = node(true)) {
            assertEquals(0, figure("peers_received"));
            taken.close();
            long untilNanos = System.nanoTime() + 10_000_000_000L;
            while (figure("peers_received") < 1 && System.nanoTime() < untilNanos) {
                send(peer, 8);
            }
            assertTrue(figure("peers_received") >= 1);
        } finally {
            taken.close();
        }
    }
}
