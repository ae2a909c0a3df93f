package cases;

import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import standin.Config;
import standin.Discovery;
import standin.Line;
import standin.Node;
import standin.Record;
import standin.SlotServer;
import standin.Threads;

/**
 * A draining slot server keeps its connections until it stops. A client must be told to move before its slot server
 * leaves.
 */
public final class DrainWithoutMove {
    private static final int CLIENTS = 15;
    private static final int DRAIN_MS = 6000;
    private static final int WATCH_MS = 12_000;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final AtomicInteger up = new AtomicInteger();
    private final AtomicInteger moved = new AtomicInteger();
    private final AtomicInteger cutOff = new AtomicInteger();
    private volatile double toldMs = Double.NaN;
    private volatile boolean stop;

    private DrainWithoutMove(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            try {
                code = new DrainWithoutMove(record).run();
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
        for (int i = 1; i <= 5; i++) {
            SlotServer server = new SlotServer("s-" + i, record, this::serve);
            servers.add(server);
            discovery.publish(server.id(), server.address(), "decin", 0, "SERVING");
        }
        discovery.onWritten((atMs, states) -> {
            if ("DRAINING".equals(states.get("s-1")) && Double.isNaN(toldMs)) {
                toldMs = atMs;
            }
        });
        int port = Node.freePort();
        Path folder = Node.folder();
        Path config = new Config()
                .listen(port)
                .discovery(discovery.address())
                .known(discovery.wholeList())
                .pushed()
                .setting("DrainGraceS", "2.5")
                .write(folder.resolve("node.json"));
        Node node = Node.start(config, Node.folder(), folder.resolve("node.log"));
        Node.awaitPong(port, 30_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Threads.start(() -> hold(port, number)));
            Threads.sleepMs(100);
        }
        Threads.sleepMs(1500);
        if (trouble) {
            discovery.publish("s-1", servers.get(0).address(), "decin", 0, "DRAINING");
            Threads.sleepMs(DRAIN_MS);
            if (Double.isNaN(toldMs)) {
                record.line("could not run: the drain was not written to the node");
                return 2;
            }
            servers.get(0).die();
            discovery.publish("s-1", servers.get(0).address(), "decin", 0, "DELETED");
            Threads.sleepMs(WATCH_MS - DRAIN_MS);
        } else {
            Threads.sleepMs(WATCH_MS);
        }
        stop = true;
        for (Thread client : clients) {
            client.join(5000);
        }
        if (up.get() < CLIENTS || !node.isAlive()) {
            record.line("could not run: %d clients up, node alive: %s", up.get(), node.isAlive());
            return 2;
        }
        record.line("clients up: %d, told to move: %d, cut off without MOVE: %d", up.get(), moved.get(), cutOff.get());
        record.line(cutOff.get() == 0 ? "held" : "BROKEN: clients were not told to move before their slot server left");
        return cutOff.get() == 0 ? 0 : 1;
    }

    private void serve(SlotServer server, Line line, String first) throws Exception {
        line.send("UP " + server.id() + "-" + SlotServer.key(first));
        SlotServer.echo(line);
    }

    /** Holds one connection and sends a line every 2 s, which comes back at once. */
    private void hold(int port, int number) throws Exception {
        try (Line line = new Line(new Socket(InetAddress.getLoopbackAddress(), port))) {
            line.send("OPEN hold" + number + " key" + number + " c=slot-board,t=melnik-terminal,d=4000");
            String answer = String.valueOf(line.read(4500));
            record.line("client %d got: %s", number, answer);
            if (!answer.startsWith("UP")) {
                return;
            }
            up.incrementAndGet();
            String server = answer.substring(3, 6);
            String end = relay(line, number);
            record.line("client %d at %s: %s", number, server, end);
        }
    }

    private String relay(Line line, int number) throws Exception {
        double nextMs = Record.nowMs() + 2000;
        int sent = 0;
        while (!stop) {
            if (Record.nowMs() >= nextMs) {
                nextMs += 2000;
                line.send("line" + number + "-" + sent++);
            }
            try {
                String next = line.read((int) Math.max(1, Math.min(250, nextMs - Record.nowMs())));
                if (next == null) {
                    cutOff.incrementAndGet();
                    return "cut off without MOVE";
                }
                if (next.equals("MOVE")) {
                    moved.incrementAndGet();
                    return "told to move";
                }
            } catch (SocketTimeoutException e) {
                // Nothing has come.
            } catch (java.io.IOException e) {
                cutOff.incrementAndGet();
                return "cut off without MOVE: " + e.getMessage();
            }
        }
        return "still open at the end";
    }
}
