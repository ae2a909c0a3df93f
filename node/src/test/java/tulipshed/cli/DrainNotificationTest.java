package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
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
import tulipshed.time.SystemClock;

/**
 * Whatever became of the calls before, a change counts as told 6 s after discovery has it and can be reached. Each kind of failing
 * call is met by a whole node; then discovery is sound and one member drains. All kinds at once, as each takes seconds.
 */
class DrainNotificationTest {
    private static final double TOLD_MS = 6_000;

    @TempDir
    private Path folder;

    /** What becomes of the node's calls until discovery is sound. */
    private enum Fails {
        REFUSED,
        DIAL_HANGS,
        BUSY,
        RESET,
        SILENT,
        DRIPS,
        HALF,
        MOVED_MEANWHILE
    }

    /** A stand-in that fails its callers until it is sound, and notes when it first told of the drain. */
    private static final class Discovery implements AutoCloseable {
        private final Fails how;
        private final String list;
        private final ConcurrentLinkedQueue<Socket> calls = new ConcurrentLinkedQueue<>();
        private final List<Socket> filling = new ArrayList<>();
        private final CountDownLatch called = new CountDownLatch(1);
        private final int port;
        private final CountDownLatch told = new CountDownLatch(1);
        private ServerSocket socket;
        private volatile boolean sound;

        Discovery(Fails how, int draining, int serving) throws IOException {
            this.how = how;
            list = "{\"version\":9,\"full\":true,\"servers\":[" + entry("s-1", draining, "DRAINING") + ","
                    + entry("s-2", serving, "SERVING") + "]}";
            socket = new ServerSocket(0, how == Fails.DIAL_HANGS ? 1 : 50, InetAddress.getLoopbackAddress());
            port = socket.getLocalPort();
            switch (how) {
                case REFUSED -> socket.close();
                case DIAL_HANGS -> filling.addAll(ListenerBacklog.fill(socket));
                default -> serve();
            }
        }

        private static String entry(String id, int port, String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"state\":\"" + state + "\"}";
        }

        private void serve() {
            Thread t = new Thread(() -> {
                try {
                    while (true) {
                        Socket call = socket.accept();
                        calls.add(call);
                        Thread each = new Thread(() -> answer(call));
                        each.setDaemon(true);
                        each.start();
                    }
                } catch (IOException closed) {
                    return;
                }
            });
            t.setDaemon(true);
            t.start();
        }

        private void answer(Socket call) {
            try {
                BufferedReader in = reader(call);
                while (in.readLine() != null) {
                    while (!in.readLine().isEmpty()) {}
                    if (sound) {
                        send(call, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                        told.countDown();
                        in.readLine();
                        return;
                    }
                    called.countDown();
                    fail(call);
                }
            } catch (IOException | InterruptedException over) {
                return;
            }
        }

        private void fail(Socket call) throws IOException, InterruptedException {
            switch (how) {
                case BUSY -> send(call, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                case RESET -> {
                    call.setSoLinger(true, 0);
                    call.close();
                }
                case HALF -> send(call, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
                case DRIPS -> {
                    for (char c : ("HTTP/1.1 200 OK\r\nX: " + "x".repeat(4000)).toCharArray()) {
                        send(call, String.valueOf(c));
                        Thread.sleep(10);
                    }
                }
                default -> {}
            }
        }

        /** From now on it can be reached, and has the drain. */
        void becomeSound() throws IOException {
            sound = true;
            if (how == Fails.REFUSED) {
                socket = new ServerSocket();
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
            }
            if (how == Fails.REFUSED || how == Fails.DIAL_HANGS) {
                serve();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket s : calls) {
                s.close();
            }
            for (Socket s : filling) {
                s.close();
            }
        }
    }

    private NodeConfig config(Fails how, int discovery, int member) throws IOException {
        Path file = folder.resolve(how + "-" + discovery + ".json");
        // Asked within 0.1 s, so that each node has failed before long.
        Files.writeString(
                file,
                Files.readString(Path.of("src/test/resources/node.json"))
                        .replace(":18080", ":0")
                        .replace(":18081", ":" + member)
                        .replace(":18500", ":" + discovery)
                        .replace("\"AskWithinS\": 10.0", "\"AskWithinS\": 0.25"));
        return NodeConfig.load(Map.of("PROXY_CONFIG", file.toString()));
    }

    /** How long after discovery was sound the node had its list; and nothing new goes to the member that drains. */
    private double toldAfterMs(Fails how) throws Exception {
        try (ServerSocket drains = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                ServerSocket serves = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Discovery discovery = new Discovery(how, drains.getLocalPort(), serves.getLocalPort());
                Discovery elsewhere = new Discovery(Fails.BUSY, drains.getLocalPort(), serves.getLocalPort())) {
            List<String> log = java.util.Collections.synchronizedList(new ArrayList<>());
            CountDownLatch failed = new CountDownLatch(2);
            Node node = Node.start(NodeOptions.withoutHotRestart(
                    config(how, discovery.port, drains.getLocalPort()),
                    OperatorsFile.EMPTY,
                    Limits.forDescriptors(1024),
                    new SystemClock(),
                    NodeLog.to(l -> {
                        log.add(l);
                        if (l.startsWith("WARN discovery: ")) {
                            failed.countDown();
                        }
                    })));
            Discovery sound = discovery;
            if (how == Fails.MOVED_MEANWHILE) {
                // A call is out, and silent, as SIGHUP names another address.
                assertTrue(discovery.called.await(20, TimeUnit.SECONDS));
                elsewhere.becomeSound();
                sound = elsewhere;
                node.reload(config(how, elsewhere.port, drains.getLocalPort()), OperatorsFile.EMPTY);
            } else {
                assertTrue(failed.await(20, TimeUnit.SECONDS), how + ": " + log);
                discovery.becomeSound();
            }
            long sinceNs = System.nanoTime();
            assertTrue(sound.told.await(20, TimeUnit.SECONDS), how + ": " + log);
            double tookMs = (System.nanoTime() - sinceNs) / 1e6;
            for (int i = 0; i < 5; i++) {
                try (Socket client =
                        new Socket(node.address().getAddress(), node.address().getPort())) {
                    client.setSoTimeout(5000);
                    send(client, "OPEN " + how + i + " k c=slot-board,t=melnik-terminal,d=4000\r\n");
                    serves.setSoTimeout(5000);
                    try (Socket server = serves.accept()) {
                        assertTrue(reader(server).readLine().startsWith("OPEN"));
                        send(server, "UP r\r\n");
                        assertEquals("UP r", reader(client).readLine());
                    }
                }
            }
            return tookMs;
        }
    }

    @Test
    void aDrainIsKnownInTimeWhateverBecameOfTheCallsBefore() throws Exception {
        Map<Fails, Future<Double>> took = new EnumMap<>(Fails.class);
        ExecutorService all = Executors.newFixedThreadPool(Fails.values().length);
        try {
            for (Fails how : Fails.values()) {
                took.put(how, all.submit(() -> toldAfterMs(how)));
            }
            for (Fails how : Fails.values()) {
                double ms = took.get(how).get();
                assertTrue(ms < TOLD_MS, how + ": told " + ms + " ms after discovery had it");
            }
        } finally {
            all.shutdownNow();
        }
    }
}
