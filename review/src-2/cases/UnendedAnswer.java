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

/** One of eight slot servers spoils its answers: its `UP RECEIPT` is never ended by CRLF. */
public final class UnendedAnswer {
    private static final int SERVERS = 8;
    private static final int REQUESTS = 60;
    private static final int CLIENT_WAITS_MS = 2000;
    private static final int LATE_MS = 500 + 50;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    private UnendedAnswer(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            try {
                code = new UnendedAnswer(record).run();
            } catch (Exception e) {
                record.line("could not run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 1; i <= SERVERS; i++) {
            SlotServer server = new SlotServer("s-" + i, record, i == 1 && trouble ? this::spoil : this::serve);
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
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            clients.add(Threads.start(() -> request(port, number)));
            Threads.sleepMs(200);
        }
        for (Thread client : clients) {
            client.join(30_000);
        }
        int answered = served.get() + refused.get() + failed.get();
        if (answered + unanswered.get() < REQUESTS || !node.isAlive()) {
            record.line("could not run: %d requests ended, node alive: %s", answered, node.isAlive());
            return 2;
        }
        record.line("served %d, refused %d, failed %d, no final answer half a second after their time: %d",
                served.get(), refused.get(), failed.get(), unanswered.get());
        record.line(unanswered.get() == 0 ? "held" : "BROKEN: requests got no final answer");
        return unanswered.get() == 0 ? 0 : 1;
    }

    private void serve(SlotServer server, Line line, String first) throws Exception {
        line.send("UP " + server.id() + "-" + SlotServer.key(first));
        SlotServer.echo(line);
    }

    /** An answer that never ends: no CRLF follows. */
    private void spoil(SlotServer server, Line line, String first) throws Exception {
        line.sendRaw("UP " + server.id() + "-" + SlotServer.key(first) + "\n");
        line.read(60_000);
    }

    private void request(int port, int number) throws Exception {
        try (Line line = new Line(new Socket(InetAddress.getLoopbackAddress(), port))) {
            line.send("OPEN id" + number + " key" + number + " c=slot-board,t=melnik-terminal,d=" + CLIENT_WAITS_MS);
            String answer;
            try {
                answer = line.read(CLIENT_WAITS_MS + LATE_MS);
            } catch (SocketTimeoutException e) {
                unanswered.incrementAndGet();
                record.line("client %d got no line in time; bytes so far: %s", number, line.partial().replace("\n", "\\n"));
                return;
            }
            record.line("client %d got: %s", number, answer);
            if (answer == null) {
                unanswered.incrementAndGet();
            } else if (answer.startsWith("UP ")) {
                served.incrementAndGet();
                Threads.sleepMs(500);
            } else if (answer.startsWith("BUSY")) {
                refused.incrementAndGet();
            } else {
                failed.incrementAndGet();
            }
        }
    }
}
