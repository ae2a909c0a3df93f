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
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.testing.NodeConfigFile;
import tulipshed.testing.NodeProcess;

/** Datagrams to a node in a separate process, from a configured peer's address and from an unknown one. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class PeerDatagramTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    @TempDir
    private Path directory;

    private DatagramSocket peer;
    private DatagramSocket unknownSender;
    private int nodePeerPort;
    private int managementPort;

    @BeforeEach
    void open() throws IOException {
        peer = new DatagramSocket(0, LOOPBACK);
        unknownSender = new DatagramSocket(0, LOOPBACK);
        nodePeerPort = freeUdpPort();
        managementPort = freeTcpPort();
    }

    @AfterEach
    void close() {
        peer.close();
        unknownSender.close();
    }

    /** Starts a node with index 0 of two; the socket {@code peer} of this test has index 1. */
    private NodeProcess startNode(boolean peersEnabled) throws IOException {
        Path file = writeConfig(peersEnabled);
        NodeProcess node = new NodeProcess(Map.of(
                "PROXY_CONFIG",
                file.toString(),
                "PROXY_MANAGEMENT",
                "127.0.0.1:" + managementPort,
                "TMPDIR",
                directory.toString()));
        node.awaitLogLine("INFO node: n0 serves");
        return node;
    }

    private Path writeConfig(boolean peersEnabled) throws IOException {
        return NodeConfigFile.fromTemplate()
                .replace("\"127.0.0.1:18080\",", addresses())
                .replace("\"Peers\": false", "\"Peers\": " + peersEnabled)
                .writeTo(directory);
    }

    private String addresses() throws IOException {
        String node = "\"127.0.0.1:" + nodePeerPort + "\"";
        String other = "\"127.0.0.1:" + peer.getLocalPort() + "\"";
        return "\"127.0.0.1:" + freeTcpPort() + "\", \"peer_listen\": " + node + ", \"peers\": [" + node + ", " + other
                + "], \"peers_all\": " + other + ",";
    }

    private void send(DatagramSocket from, int bytes) throws IOException {
        from.send(new DatagramPacket(new byte[bytes], bytes, new InetSocketAddress(LOOPBACK, nodePeerPort)));
    }

    private long metric(String name) throws IOException {
        Matcher matcher =
                Pattern.compile("\"" + name + "\":(\\d+)").matcher(httpGet(managementPort, "/status/metrics"));
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    /** Waits until the metrics count this number of datagrams; loopback loses none that fits into the buffer. */
    private void awaitDatagrams(long total) throws IOException {
        long deadlineNs = System.nanoTime() + 10_000_000_000L;
        while (metric("peers_received") + metric("peers_dropped") < total && System.nanoTime() < deadlineNs) {
            Thread.onSpinWait();
        }
        assertEquals(total, metric("peers_received") + metric("peers_dropped"));
    }

    @Test
    void acceptsOnlyDatagramsOfPeersWithinSizeAndRate() throws Exception {
        try (NodeProcess node = startNode(true)) {
            for (int bytes : List.of(1, 100, 256, 257, 1400)) {
                send(peer, bytes);
                send(unknownSender, bytes);
            }
            awaitDatagrams(10);
            assertEquals(3, metric("peers_received"));
            for (int i = 0; i < 600; i++) {
                send(peer, 8);
            }
            awaitDatagrams(610);
            // A burst spans at most two one-second intervals of the rate limit.
            assertTrue(metric("peers_received") <= 2 * 200, "of 600 at once: " + metric("peers_received"));
            assertEquals(0, metric("peers_sent"), "the node sends nothing unprompted");
            assertTrue(node.isRunning());
        }
    }

    @Test
    void bindsNoSocketUntilAReloadEnablesPeers() throws Exception {
        try (NodeProcess node = startNode(false)) {
            new DatagramSocket(nodePeerPort, LOOPBACK).close();
            assertEquals(-1, metric("peers_received"), "no metric either");
            writeConfig(true);
            node.sendSignal("HUP");
            assertFalse(node.awaitReloadLine().contains("rejected"));
            // Datagrams arrive once the socket is open; earlier ones are lost.
            long deadlineNs = System.nanoTime() + 10_000_000_000L;
            while (metric("peers_received") < 1 && System.nanoTime() < deadlineNs) {
                send(peer, 8);
            }
            assertTrue(metric("peers_received") >= 1);
            writeConfig(false);
            node.sendSignal("HUP");
            node.awaitReloadLine();
            new DatagramSocket(nodePeerPort, LOOPBACK).close();
        }
    }

    /** Peer messages are optional: a node whose peer address is in use serves without them and retries to bind. */
    @Test
    void servesWhilePeerAddressIsInUseAndBindsItOnceFree() throws Exception {
        DatagramSocket other = new DatagramSocket(nodePeerPort, LOOPBACK);
        try (NodeProcess node = startNode(true)) {
            assertEquals(0, metric("peers_received"));
            other.close();
            long deadlineNs = System.nanoTime() + 10_000_000_000L;
            while (metric("peers_received") < 1 && System.nanoTime() < deadlineNs) {
                send(peer, 8);
            }
            assertTrue(metric("peers_received") >= 1);
        } finally {
            other.close();
        }
    }
}
