package tulipshed.quic;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tech.kwik.core.QuicClientConnection;
import tech.kwik.core.QuicConnection.QuicVersion;
import tech.kwik.core.QuicStream;
import tech.kwik.core.log.NullLogger;
import tech.kwik.core.server.ApplicationProtocolConnection;
import tech.kwik.core.server.ServerConnectionConfig;
import tech.kwik.core.server.ServerConnector;
import tulipshed.config.NodeConfig;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.SystemClock;
import tulipshed.transport.XnioEventLoop;

/**
 * Whole handshakes with TLS and echoes on streams through the front, with a client and a server that others wrote. What
 * that library cannot do: choose its server ids by QUIC-LB, share reset tokens, or read our Retry tokens; the stand-ins do.
 */
class KwikTest {
    private static final int ECHO = 3000;

    @TempDir
    private Path folder;

    private XnioEventLoop loop;
    private ProxyCore core;
    private QuicFrontend front;
    private final List<ServerConnector> servers = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final AtomicIntegerArray streams = new AtomicIntegerArray(2);

    /** A socket that can be changed for another beneath its owner, as a NAT does. */
    private static final class Rebinding extends DatagramSocket {
        private volatile DatagramSocket inner;

        Rebinding() throws SocketException {
            super((SocketAddress) null);
            rebind();
        }

        void rebind() throws SocketException {
            DatagramSocket old = inner;
            inner = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            if (old != null) {
                old.close();
            }
        }

        @Override
        public void send(DatagramPacket p) throws IOException {
            while (true) {
                DatagramSocket now = inner;
                try {
                    now.send(p);
                    return;
                } catch (SocketException e) {
                    // Changed between the look and the sending; the library would take it for the end of its
                    // connection.
                    if (now == inner) {
                        throw e;
                    }
                }
            }
        }

        @Override
        public void receive(DatagramPacket p) throws IOException {
            while (true) {
                DatagramSocket now = inner;
                try {
                    now.receive(p);
                    return;
                } catch (SocketException e) {
                    if (now == inner) {
                        throw e;
                    }
                }
            }
        }

        @Override
        public synchronized void setSoTimeout(int timeout) {}

        @Override
        public int getLocalPort() {
            return inner.getLocalPort();
        }

        @Override
        public void close() {
            inner.close();
        }
    }

    @BeforeEach
    void start() throws Exception {
        Path store = folder.resolve("keys.p12");
        Process made = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "keytool")
                                .toString(),
                        "-genkeypair",
                        "-alias",
                        "slots",
                        "-keyalg",
                        "EC",
                        "-groupname",
                        "secp256r1",
                        "-dname",
                        "CN=slots.example",
                        "-validity",
                        "36500",
                        "-storetype",
                        "PKCS12",
                        "-keystore",
                        store.toString(),
                        "-storepass",
                        "secret")
                .redirectErrorStream(true)
                .start();
        made.getInputStream().readAllBytes();
        assertEquals(0, made.waitFor());
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(store)) {
            keys.load(in, "secret".toCharArray());
        }
        for (int i = 0; i < 2; i++) {
            serve(keys);
        }
        loop = new XnioEventLoop(Limits.forDescriptors(1024));
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"));
        onLoop(() -> {
            core = new ProxyCore(
                    new SystemClock(),
                    Limits.forDescriptors(1024),
                    config.settings(),
                    1,
                    loop,
                    NodeLog.silent(),
                    Balancer::new);
            core.setRouter(OperatorsFile.read(
                            "f",
                            ("(pool one (where true)) (route r (when (= (default server-name \"\") \"localhost\"))"
                                            + "(to one)) (classify (rule r (when (= (default alpn \"\") \"slots\")) (class \"gate-status\")))")
                                    .getBytes(UTF_8),
                            config.nameIndex())
                    .router());
            notifyStatus(EndpointStatus.SERVING, EndpointStatus.SERVING);
            front = new QuicFrontend(
                    new SystemClock(),
                    Limits.forDescriptors(1024),
                    new QuicConfig(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            null,
                            "slot-booking",
                            "vltava-kontejner",
                            4000,
                            new ConnectionIdConfigurations().with(StandIns.IDS, Map.of()),
                            StandIns.RESET,
                            null,
                            null),
                    config.nameIndex(),
                    loop,
                    core,
                    NodeLog.silent());
            return null;
        });
    }

    private void serve(KeyStore keys) throws Exception {
        int number = servers.size();
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        ServerConnector server = ServerConnector.builder()
                .withPort(socket.getLocalPort())
                .withSocket(socket)
                .withKeyStore(keys, "slots", "secret".toCharArray())
                .withSupportedVersions(List.of(QuicVersion.V1, QuicVersion.V2))
                .withLogger(new NullLogger())
                .withConfiguration(ServerConnectionConfig.builder()
                        .maxIdleTimeoutInSeconds(30)
                        .maxOpenPeerInitiatedBidirectionalStreams(100)
                        .retryRequired(false)
                        .build())
                .build();
        server.registerApplicationProtocol("slots", (protocol, connection) -> new ApplicationProtocolConnection() {
            @Override
            public void acceptPeerInitiatedStream(QuicStream stream) {
                streams.incrementAndGet(number);
                new Thread(() -> echo(stream)).start();
            }
        });
        server.start();
        servers.add(server);
        addresses.add((InetSocketAddress) socket.getLocalSocketAddress());
    }

    /** Discovery's news of both servers. */
    private void notifyStatus(EndpointStatus first, EndpointStatus second) {
        List<EndpointListEntry> listed = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            listed.add(new EndpointListEntry(
                    new EndpointInfo("s-" + (i + 1), i == 0 ? first : second, "decin", 0, "std-2c", 1, 0),
                    addresses.get(i)));
        }
        core.endpointsChanged(EndpointListKind.COMPLETE, listed);
    }

    private <T> T onLoop(QuicFrontendFixture.Task<T> what) {
        return QuicFrontendFixture.onLoop(loop, what);
    }

    @AfterEach
    void stop() {
        servers.forEach(ServerConnector::close);
        loop.stop();
    }

    private static void echo(QuicStream stream) {
        try {
            stream.getOutputStream().write(stream.getInputStream().readAllBytes());
            stream.getOutputStream().close();
        } catch (IOException e) {
            // The client has gone.
            return;
        }
    }

    private QuicClientConnection.Builder client(Rebinding socket) {
        return QuicClientConnection.newBuilder()
                .uri(URI.create("slots://localhost:" + front.address().getPort()))
                .applicationProtocol("slots")
                .noServerCertificateCheck()
                .preferIPv4()
                .connectTimeout(Duration.ofSeconds(5))
                .logger(new NullLogger())
                .socketFactory(to -> socket);
    }

    private static void echoes(QuicClientConnection connection, int count, long seed) throws IOException {
        Random random = new Random(seed);
        for (int i = 0; i < count; i++) {
            byte[] out = new byte[ECHO];
            random.nextBytes(out);
            QuicStream stream = connection.createStream(true);
            stream.getOutputStream().write(out);
            stream.getOutputStream().close();
            assertArrayEquals(out, stream.getInputStream().readAllBytes(), "echo " + i);
        }
    }

    @Test
    void bothVersionsAndALongHelloAreServedByTheirNames() throws Exception {
        for (QuicVersion version : List.of(QuicVersion.V1, QuicVersion.V2)) {
            QuicClientConnection connection =
                    client(new Rebinding()).version(version).build();
            connection.connect();
            echoes(connection, 5, 1);
            connection.close();
        }
        QuicClientConnection large =
                client(new Rebinding()).quantumReadinessTest(1800).build();
        large.connect();
        echoes(large, 5, 2);
        large.close();
        assertEquals(2, (long) onLoop(() -> front.context().metrics().get(QuicCounter.OPENED_V1)));
        assertEquals(1, (long) onLoop(() -> front.context().metrics().get(QuicCounter.OPENED_V2)));
        assertEquals(3, (long)
                onLoop(() -> core.metrics().responses().get("gate-status").established()));
    }

    @Test
    void nothingIsLostOverRebinds() throws Exception {
        Rebinding socket = new Rebinding();
        QuicClientConnection connection = client(socket).build();
        connection.connect();
        // By hand for a minute: -Dkwik.rebinds=30 -Dkwik.between=2000 (milliseconds of echoes before each rebind).
        int rebinds = Integer.getInteger("kwik.rebinds", 6);
        long betweenNs = Integer.getInteger("kwik.between", 0) * 1_000_000L;
        int echoed = 0;
        for (int i = 0; i < rebinds; i++) {
            long untilNs = System.nanoTime() + betweenNs;
            do {
                echoes(connection, 15, i);
                echoed += 15;
            } while (System.nanoTime() < untilNs);
            socket.rebind();
        }
        echoes(connection, 10, 7);
        System.out.println(echoed + 10 + " of " + (echoed + 10) + " echoes over " + rebinds + " rebinds");
        assertTrue(onLoop(() -> front.context().metrics().get(QuicCounter.REBINDS)) >= rebinds);
        assertEquals(1, (int) onLoop(front.context().table()::sessionCount));
        assertEquals(1, (int) onLoop(() -> core.metrics().activeRequests()));
        connection.close();
    }

    /** One of two servers drains while its clients rebind: it hears nothing any more, and who stands at the other loses nothing. */
    @Test
    void aServerDrainsWhileClientsRebind() throws Exception {
        List<QuicClientConnection> staying = new ArrayList<>();
        List<Rebinding> sockets = new ArrayList<>();
        int leaving = 0;
        while (staying.size() < 3 || leaving < 2) {
            Rebinding socket = new Rebinding();
            QuicClientConnection connection = client(socket).build();
            connection.connect();
            int before = streams.get(1);
            echoes(connection, 1, 1);
            if (streams.get(1) > before) {
                staying.add(connection);
                sockets.add(socket);
            } else {
                leaving++;
            }
        }
        onLoop(() -> {
            notifyStatus(EndpointStatus.DRAINING, EndpointStatus.SERVING);
            return null;
        });
        int atDrained = streams.get(0);
        for (int round = 0; round < 5; round++) {
            for (int i = 0; i < staying.size(); i++) {
                echoes(staying.get(i), 10, round);
                sockets.get(i).rebind();
            }
            QuicClientConnection again = client(new Rebinding()).build();
            again.connect();
            echoes(again, 3, round);
            again.close();
        }
        assertEquals(atDrained, streams.get(0), "nothing more at the server that drains");
        assertEquals(staying.size(), (int) onLoop(() -> core.metrics().activeRequests()) - 5);
        staying.forEach(QuicClientConnection::close);
    }
}
