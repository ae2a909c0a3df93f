package tulipshed.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.config.NodeConfig;
import tulipshed.config.PeerConfig;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.BalancerActions;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.ProxyCore;
import tulipshed.testing.DelegatingBalancer;
import tulipshed.testing.LoopbackSockets;
import tulipshed.time.SystemClock;
import tulipshed.transport.XnioEventLoop;

/** Tests of the peer socket under a real core whose decision module replies to messages, with plain sockets as peers. */
class PeerSocketTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int FAILED_BINDS = 100;
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    @TempDir
    private Path directory;

    private DatagramSocket peer;
    private DatagramSocket broadcast;
    private XnioEventLoop loop;
    private ProxyCore core;
    private PeerSocket peerSocket;
    private InetSocketAddress nodeAddress;

    @BeforeEach
    void open() throws IOException {
        peer = new DatagramSocket(0, LOOPBACK);
        broadcast = new DatagramSocket(0, LOOPBACK);
        peer.setSoTimeout(5000);
        broadcast.setSoTimeout(5000);
        nodeAddress = new InetSocketAddress(LOOPBACK, LoopbackSockets.freeUdpPort());
        loop = new XnioEventLoop(Limits.forDescriptors(1024));
    }

    @AfterEach
    void close() {
        peer.close();
        broadcast.close();
        loop.stop();
    }

    /** Starts node 0, whose peer is node 1; {@code handler} handles each message in place of the decision module. */
    private void start(boolean allowed, MessageHandler handler) throws Exception {
        start(allowed, (InetSocketAddress) broadcast.getLocalSocketAddress(), handler);
    }

    private void start(boolean allowed, InetSocketAddress allPeers, MessageHandler handler) throws Exception {
        Path file = Files.writeString(
                directory.resolve("node.json"),
                Files.readString(Path.of("src/test/resources/node.json"))
                        .replace("\"Peers\": false", "\"Peers\": " + allowed));
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", file.toString()));
        onLoop(() -> {
            core = new ProxyCore(
                    new SystemClock(),
                    Limits.forDescriptors(1024),
                    config.settings(),
                    1,
                    loop,
                    NodeLog.silent(),
                    (settings, seed, now, actions) ->
                            new DelegatingBalancer(new Balancer(settings, seed, now, actions)) {
                                @Override
                                public void peerMessageReceived(long at, int from, byte[] body) {
                                    received.add(from + ":" + new String(body, UTF_8));
                                    handler.handle(actions, from);
                                }
                            });
            peerSocket = new PeerSocket(new SystemClock(), Limits.forDescriptors(1024), loop, core, NodeLog.silent());
            peerSocket.configure(new PeerConfig(
                    nodeAddress, List.of(nodeAddress, (InetSocketAddress) peer.getLocalSocketAddress()), allPeers, 0));
            peerSocket.retryBind();
        });
    }

    /** Handles a message in place of the decision module. */
    private interface MessageHandler {
        void handle(BalancerActions actions, int from);
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                task.run();
                done.complete(null);
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        done.get(10, TimeUnit.SECONDS);
    }

    private void sendFromPeer(String text) throws IOException {
        peer.send(new DatagramPacket(text.getBytes(UTF_8), text.length(), nodeAddress));
    }

    private static String receive(DatagramSocket socket) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[2000], 2000);
        socket.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), UTF_8);
    }

    private long counter(String name) throws Exception {
        CompletableFuture<Long> value = new CompletableFuture<>();
        loop.execute(
                () -> value.complete(core.metrics().frontendCounters().get(name).getAsLong()));
        return value.get(10, TimeUnit.SECONDS);
    }

    @Test
    void deliversMessagesAndSendsToOnePeerOrAll() throws Exception {
        start(true, (actions, from) -> {
            actions.sendToPeer(from, "to you".getBytes(UTF_8));
            actions.sendToPeer(BalancerActions.ALL_PEERS, "to all".getBytes(UTF_8));
        });
        sendFromPeer("a");
        sendFromPeer("a");
        assertEquals("to you", receive(peer));
        assertEquals("to all", receive(broadcast));
        assertEquals("1:a", received.poll(5, TimeUnit.SECONDS));
        assertEquals("1:a", received.poll(5, TimeUnit.SECONDS), "duplicates are delivered, too");
    }

    /** The protocol allows messages of 1 to 256 bytes, and only to other nodes of the configuration. */
    @Test
    void countsInvalidMessagesAsNotSent() throws Exception {
        start(true, (actions, from) -> {
            for (int peer : new int[] {0, 2, -2, Integer.MAX_VALUE}) {
                actions.sendToPeer(peer, new byte[] {1});
            }
            actions.sendToPeer(1, new byte[257]);
            actions.sendToPeer(1, new byte[0]);
            actions.sendToPeer(1, "x".repeat(256).getBytes(UTF_8));
        });
        sendFromPeer("a");
        assertEquals(256, receive(peer).length(), "only the last of seven messages is sent");
        assertEquals(6, counter("peers_not_sent"));
        assertEquals(1, counter("peers_sent"));
    }

    @Test
    void sendsNothingIfSettingsForbidPeers() throws Exception {
        start(false, (actions, from) -> actions.sendToPeer(1, "x".getBytes(UTF_8)));
        sendFromPeer("a");
        assertEquals("1:a", received.poll(5, TimeUnit.SECONDS));
        assertEquals(0, counter("peers_sent") + counter("peers_not_sent"), "the core does not pass the message on");
    }

    @Test
    void releasesAddressWhenDisabled() throws Exception {
        start(true, (actions, from) -> {});
        onLoop(() -> peerSocket.configure(null));
        new DatagramSocket(nodeAddress).close();
        onLoop(peerSocket::retryBind);
        assertTrue(!peerSocket.isOpen());
    }

    private static int openDescriptors() {
        return new File("/proc/self/fd").list().length;
    }

    /**
     * The other process of a hot restart may hold the address for a while; until then the node runs without messages.
     */
    @Test
    void bindsOnceItsAddressIsFreeAndKeepsNoDescriptorsUntilThen() throws Exception {
        try (DatagramSocket holder = new DatagramSocket(nodeAddress)) {
            start(true, (actions, from) -> {});
            int before = openDescriptors();
            onLoop(() -> {
                for (int i = 0; i < FAILED_BINDS; i++) {
                    peerSocket.retryBind();
                    peerSocket.send(1, new byte[] {1});
                }
            });
            assertTrue(openDescriptors() - before < FAILED_BINDS / 2, before + " descriptors before");
            assertTrue(!peerSocket.isOpen() && holder.isBound());
        }
        assertEquals(FAILED_BINDS, counter("peers_not_sent"));
        onLoop(peerSocket::retryBind);
        sendFromPeer("a");
        assertEquals("1:a", received.poll(5, TimeUnit.SECONDS));
    }

    /** The kernel refuses to send to the broadcast address with EACCES; the socket remains usable. */
    @Test
    void datagramThatTheKernelRefusesIsDroppedAndOthersAreSent() throws Exception {
        start(true, new InetSocketAddress("255.255.255.255", 9), (actions, from) -> {
            actions.sendToPeer(BalancerActions.ALL_PEERS, "to all".getBytes(UTF_8));
            actions.sendToPeer(from, "to you".getBytes(UTF_8));
        });
        for (int i = 0; i < 3; i++) {
            sendFromPeer("a");
            assertEquals("to you", receive(peer));
            assertEquals("1:a", received.poll(5, TimeUnit.SECONDS));
        }
        assertEquals(3, counter("peers_not_sent"));
        assertEquals(3, counter("peers_sent"));
    }
}
