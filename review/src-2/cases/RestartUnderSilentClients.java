package cases;

import java.io.IOException;
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
import standin.SilentClients;
import standin.SlotServer;
import standin.Threads;

/**
 * Bad clients open hundreds of connections and say nothing, and come again the moment they are turned away. Meanwhile the
 * node is told to end, a few times in a row. Usual clients that stand on it must be told to move before SIGKILL.
 */
public final class RestartUnderSilentClients {
    private static final int SILENT = 900;
    private static final int SILENT_THREADS = 4;
    private static final int STANDING = 8;
    private static final int FLOOD_MS = 1200;
    private static final int FRONT_NOTICES_MS = 400;
    private static final int KILL_MS = 3000 + 700 + 50;
    private static final int RUN_MS = 100_000;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final AtomicInteger ids = new AtomicInteger();
    private int rounds;
    private int notEnded;
    private int lost;
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile boolean frontOpen;

    private RestartUnderSilentClients(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            try {
                code = new RestartUnderSilentClients(record).run();
            } catch (Exception e) {
                record.line("could not run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 1; i <= 4; i++) {
            SlotServer server = new SlotServer("s-" + i, record, this::serve);
            discovery.publish(server.id(), server.address(), "decin", 0, "SERVING");
        }
        int port = Node.freePort();
        Path folder = Node.folder();
        Path config = new Config()
                .listen(port)
                .discovery(discovery.address())
                .known(discovery.wholeList())
                .setting("sockets", "256")
                .write(folder.resolve("node.json"));
        while (Record.nowMs() < RUN_MS - 10_000 && lost + unanswered.get() == 0) {
            round(port, config, folder);
        }
        record.line("rounds: %d; not ended when SIGKILL was due: %d; standing clients lost: %d", rounds, notEnded, lost);
        record.line("requests answered: %d, without a final answer: %d", answered.get(), unanswered.get());
        boolean held = lost + unanswered.get() == 0;
        record.line(held ? "held" : "BROKEN: connections or requests of usual clients were lost");
        return held ? 0 : 1;
    }

    private void round(int port, Path config, Path folder) throws Exception {
        rounds++;
        Node node = Node.start(config, Node.folder(), folder.resolve("node" + rounds + ".log"));
        Node.awaitPong(port, 30_000);
        List<Standing> standing = new ArrayList<>();
        for (int i = 0; i < STANDING; i++) {
            standing.add(new Standing(port));
        }
        SilentClients silent = trouble ? new SilentClients(port, SILENT, SILENT_THREADS) : null;
        frontOpen = true;
        Thread usual = Threads.start(() -> sendRequests(port));
        Threads.sleepMs(FLOOD_MS);
        double termMs = Record.nowMs();
        node.signal("TERM");
        Threads.sleepMs(termMs + FRONT_NOTICES_MS - Record.nowMs());
        frontOpen = false;
        if (silent != null) {
            silent.stopConnecting();
        }
        boolean ended = node.awaitEnd((int) (termMs + KILL_MS - Record.nowMs()));
        double tookMs = Record.nowMs() - termMs;
        if (!ended) {
            notEnded++;
            node.signal("KILL");
            node.awaitEnd(5000);
        }
        int lostNow = 0;
        for (Standing client : standing) {
            lostNow += client.isLost() ? 1 : 0;
        }
        lost += lostNow;
        usual.join(3000);
        record.line(
                "round %d: %s %.0f ms after SIGTERM; bad clients turned away %d times; standing clients %d, lost %d",
                rounds,
                ended ? "ended" : "had not ended, SIGKILL",
                tookMs,
                silent == null ? 0 : silent.turnedAway(),
                STANDING,
                lostNow);
        if (silent != null) {
            silent.stop();
        }
    }

    private void serve(SlotServer server, Line line, String first) throws Exception {
        line.send("UP " + server.id() + "-" + SlotServer.key(first));
        SlotServer.echo(line);
    }

    /** Usual clients that come while the front sends any; each is counted if it gets no answer half a second after its time. */
    private void sendRequests(int port) throws Exception {
        List<Thread> clients = new ArrayList<>();
        while (frontOpen) {
            clients.add(Threads.start(() -> request(port)));
            Threads.sleepMs(200);
        }
        for (Thread client : clients) {
            client.join(3000);
        }
    }

    private void request(int port) throws Exception {
        String id = "id" + ids.incrementAndGet();
        try (Line line = new Line(new Socket(InetAddress.getLoopbackAddress(), port))) {
            String answer = null;
            try {
                line.send("OPEN " + id + " key" + id + " c=gate-status,t=melnik-terminal,d=1200");
                answer = line.read(1200 + 550);
            } catch (IOException e) {
                record.line("client %s: %s", id, e);
            }
            if (answer == null) {
                unanswered.incrementAndGet();
            } else {
                answered.incrementAndGet();
            }
        }
    }

    /** A usual client whose connection stands: it sends a line every 2 s and reads until MOVE or the end. */
    private final class Standing {
        private final Thread thread;
        private volatile boolean moved;

        Standing(int port) throws Exception {
            String id = "id" + ids.incrementAndGet();
            Line line = new Line(new Socket(InetAddress.getLoopbackAddress(), port));
            line.send("OPEN " + id + " key" + id + " c=slot-board,t=melnik-terminal,d=4000");
            String answer = String.valueOf(line.read(4500));
            if (!answer.startsWith("UP ")) {
                throw new IOException("a usual client got " + answer + " before any trouble");
            }
            thread = Threads.start(() -> {
                try (line) {
                    hold(line);
                }
            });
        }

        private void hold(Line line) throws IOException {
            while (true) {
                line.send("line");
                try {
                    for (long endMs = System.currentTimeMillis() + 2000; ; ) {
                        String next = line.read((int) Math.max(1, endMs - System.currentTimeMillis()));
                        if (next == null || next.equals("MOVE")) {
                            moved = next != null;
                            return;
                        }
                    }
                } catch (SocketTimeoutException e) {
                    // The next line is due.
                }
            }
        }

        boolean isLost() throws InterruptedException {
            thread.join(3000);
            return !moved;
        }
    }
}
