package cases;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import standin.Config;
import standin.Discovery;
import standin.Line;
import standin.Node;
import standin.Record;
import standin.SlotServer;
import standin.Threads;

/**
 * The open watch falls silent, and the call that opens it anew waits in turn at a crowded discovery and ends in 503. A slot
 * server begins to drain right after the watch fell silent.
 */
public final class SilentWatchThenCrowd {
    private static final double TOLD_MS = 6000;
    private static final double GRACE_MS = 300 + 50;
    private static final int CROWDED_WAIT_MS = 1400;
    private static final int ROUNDS = 7;

    private record Arrival(String server, double atMs, String first) {}

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile String draining = "";
    private volatile boolean stop;

    private SilentWatchThenCrowd(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            try {
                code = new SilentWatchThenCrowd(record).run();
            } catch (Exception e) {
                record.line("could not run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery(record);
        List<SlotServer> servers = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            SlotServer server = new SlotServer("s-" + i, record, this::serve);
            servers.add(server);
            discovery.publish(server.id(), server.address(), "decin", 0, "SERVING");
        }
        int port = Node.freePort();
        Path folder = Node.folder();
        Path config = new Config()
                .listen(port)
                .discovery(discovery.address())
                .known(discovery.wholeList())
                .write(folder.resolve("node.json"));
        Node node = Node.start(config, Node.folder(), folder.resolve("node.log"));
        Node.awaitPong(port, 30_000);
        Threads.start(() -> sendRequests(port));
        Threads.sleepMs(2000);
        int late = 0;
        for (int round = 0; round < ROUNDS && late == 0; round++) {
            SlotServer server = servers.get(round % servers.size());
            late += round(discovery, server);
        }
        stop = true;
        if (!node.isAlive() || served.get() < 50) {
            record.line("could not run: node alive %s, served %d", node.isAlive(), served.get());
            return 2;
        }
        record.line(late == 0 ? "held" : "BROKEN: new requests went to a draining slot server");
        return late == 0 ? 0 : 1;
    }

    private int round(Discovery discovery, SlotServer server) throws Exception {
        if (trouble) {
            discovery.crowd(1, CROWDED_WAIT_MS);
            discovery.awaitNextWatch();
            discovery.silenceOpenWatches();
        }
        Threads.sleepMs(10);
        draining = server.id();
        double drainMs = Record.nowMs();
        discovery.publish(server.id(), server.address(), "decin", 0, "DRAINING");
        Threads.sleepMs(8500);
        List<Arrival> after = arrivals.stream()
                .filter(arrival -> arrival.server().equals(server.id()) && arrival.atMs() > drainMs)
                .toList();
        int late = 0;
        for (Arrival arrival : after) {
            if (arrival.atMs() > drainMs + TOLD_MS + GRACE_MS) {
                late++;
                record.line("%s got %s %.0f ms after discovery had its drain", server.id(), arrival.first(), arrival.atMs() - drainMs);
            }
        }
        record.line("%s: requests after its drain %d, the last after %.0f ms; later than %.0f ms: %d",
                server.id(),
                after.size(),
                after.isEmpty() ? 0.0 : after.get(after.size() - 1).atMs() - drainMs,
                TOLD_MS + GRACE_MS,
                late);
        draining = "";
        discovery.publish(server.id(), server.address(), "decin", 0, "SERVING");
        Threads.sleepMs(3000);
        return late;
    }

    /** A slot server; while it drains it turns away what is new. */
    private void serve(SlotServer server, Line line, String first) throws Exception {
        if (server.id().equals(draining)) {
            arrivals.add(new Arrival(server.id(), Record.nowMs(), first));
            line.send("BUSY");
            return;
        }
        line.send("UP " + server.id() + "-" + SlotServer.key(first));
        SlotServer.echo(line);
    }

    /** New connections, each held for a short while. */
    private void sendRequests(int port) throws Exception {
        while (!stop) {
            Threads.start(() -> request(port));
            Threads.sleepMs(20);
        }
    }

    private void request(int port) throws Exception {
        String id = "id" + ids.incrementAndGet();
        try (Line line = new Line(new Socket(InetAddress.getLoopbackAddress(), port))) {
            line.send("OPEN " + id + " key" + id + " c=slot-board,t=melnik-terminal,d=2000");
            String answer = String.valueOf(line.read(2500));
            if (answer.startsWith("UP")) {
                served.incrementAndGet();
                Threads.sleepMs(200);
            }
        }
    }
}
