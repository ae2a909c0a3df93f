package cases;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
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
 * A slot server drains, and discovery writes it to the node. Then the server list is out of reach, and meanwhile a new
 * version takes over. Both processes are one node, which has been told of the drain.
 */
public final class UpgradeWhileListIsDark {
    private static final double GRACE_MS = 300 + 50;
    private static final double NEWS_BINDS_MS = 2000;
    private static final int DARK_MS = 12_000;

    private record Arrival(double atMs, String first) {}

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final List<Arrival> atDraining = new CopyOnWriteArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile double toldMs = Double.NaN;
    private volatile boolean draining;
    private volatile boolean stop;

    private UpgradeWhileListIsDark(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            try {
                code = new UpgradeWhileListIsDark(record).run();
            } catch (Exception e) {
                record.line("could not run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery(record);
        SlotServer first = new SlotServer("s-1", record, this::serve);
        SlotServer second = new SlotServer("s-2", record, this::serve);
        SlotServer third = new SlotServer("s-3", record, this::serveThird);
        for (SlotServer server : List.of(first, second, third)) {
            discovery.publish(server.id(), server.address(), "decin", 0, "SERVING");
        }
        discovery.onWritten((atMs, states) -> {
            if ("DRAINING".equals(states.get("s-3")) && Double.isNaN(toldMs)) {
                toldMs = atMs;
            }
        });
        int port = Node.freePort();
        int oldManagement = Node.freePort();
        int newManagement = Node.freePort();
        Path folder = Node.folder();
        Path tmp = Node.folder();
        String known = discovery.wholeList();
        Path oldConfig = new Config()
                .listen(port)
                .discovery(discovery.address())
                .known(known)
                .management(oldManagement)
                .write(folder.resolve("old.json"));
        Path newConfig = new Config()
                .listen(port)
                .discovery(discovery.address())
                .known(known)
                .management(newManagement)
                .write(folder.resolve("new.json"));
        Node old = Node.start(oldConfig, tmp, folder.resolve("old.log"));
        Node.awaitPong(port, 30_000);
        Thread clients = Threads.start(() -> sendRequests(port));
        Threads.sleepMs(2000);
        draining = true;
        discovery.publish("s-3", third.address(), "decin", 0, "DRAINING");
        Threads.sleepMs(3000);
        if (Double.isNaN(toldMs)) {
            record.line("could not run: the drain was not written to the node");
            return 2;
        }
        double darkFromMs = Record.nowMs();
        if (trouble) {
            discovery.goDown();
            Threads.sleepMs(500);
        }
        Node next = Node.start(newConfig, tmp, folder.resolve("new.log"));
        record.line("the new version starts");
        double yesMs = awaitYes(newManagement, next);
        record.line("GET /status at the new version: yes; SIGTERM to the old one");
        old.signal("TERM");
        Threads.sleepMs(darkFromMs + DARK_MS - Record.nowMs());
        double darkUntilMs = Record.nowMs();
        if (trouble) {
            discovery.comeBack();
        }
        Threads.sleepMs(4000);
        stop = true;
        clients.join(5000);
        if (!next.isAlive() || old.isAlive() || served.get() < 20) {
            record.line("could not run: new alive %s, old alive %s, served %d", next.isAlive(), old.isAlive(), served.get());
            return 2;
        }
        return verdict(yesMs, darkUntilMs);
    }

    private double awaitYes(int management, Node next) throws Exception {
        double endMs = Record.nowMs() + 6000;
        while (Node.status(management) != 200) {
            if (Record.nowMs() > endMs || !next.isAlive()) {
                throw new IOException("the new version does not say yes");
            }
            Threads.sleepMs(50);
        }
        return Record.nowMs();
    }

    private int verdict(double yesMs, double darkUntilMs) {
        List<Arrival> afterNotice =
                atDraining.stream().filter(arrival -> arrival.atMs() > toldMs + GRACE_MS).toList();
        List<Arrival> late = afterNotice.stream()
                .filter(arrival -> arrival.atMs() < yesMs - 100 || arrival.atMs() > yesMs + NEWS_BINDS_MS)
                .toList();
        record.line(
                "the node was told of the drain at %.0f; the new version's yes at %.0f; list out of reach until %.0f",
                toldMs, yesMs, darkUntilMs);
        record.line("requests at s-3 later than %.0f ms after that: %d", GRACE_MS, afterNotice.size());
        record.line("of these not in the 2 s after the yes: %d", late.size());
        late.forEach(arrival -> record.line("  at %.0f: %s", arrival.atMs(), arrival.first()));
        record.line(late.isEmpty() ? "held" : "BROKEN: new requests went to a draining slot server");
        return late.isEmpty() ? 0 : 1;
    }

    private void serve(SlotServer server, Line line, String first) throws Exception {
        line.send("UP " + server.id() + "-" + SlotServer.key(first));
        SlotServer.echo(line);
    }

    /** s-3: once it drains it finishes what it has and turns away what is new. */
    private void serveThird(SlotServer server, Line line, String first) throws Exception {
        if (!draining) {
            serve(server, line, first);
            return;
        }
        atDraining.add(new Arrival(Record.nowMs(), first));
        record.line("s-3 drains and turns it away");
        line.send("BUSY");
    }

    /** About ten new connections a second, each held for half a second. */
    private void sendRequests(int port) throws Exception {
        while (!stop) {
            Threads.start(() -> request(port));
            Threads.sleepMs(100);
        }
    }

    private void request(int port) throws Exception {
        String id = "id" + ids.incrementAndGet();
        try (Line line = new Line(new Socket(InetAddress.getLoopbackAddress(), port))) {
            line.send("OPEN " + id + " key" + id + " c=slot-board,t=melnik-terminal,d=2000");
            String answer = String.valueOf(line.read(2500));
            record.line("client %s got: %s", id, answer);
            if (answer.startsWith("UP")) {
                served.incrementAndGet();
                Threads.sleepMs(500);
            }
        }
    }
}
