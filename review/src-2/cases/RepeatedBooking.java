package cases;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import standin.Config;
import standin.Discovery;
import standin.Line;
import standin.Node;
import standin.Record;
import standin.SlotServer;
import standin.Threads;

/**
 * Bookings are by_key with group `all`; one answer to one of eight bookings is lost. The client does what the node's answer tells it. The
 * slot servers share the keys that they have seen for the window of the settings, and count how often each is applied.
 */
public final class RepeatedBooking {
    private static final double WINDOW_MS = 1000;
    private static final double WINDOW_SLACK_MS = 50;
    private static final int CLIENT_WAITS_MS = 3000;
    private static final int BOOKINGS = 8;
    private static final String BOOKING_WITH_LOST_ANSWER = "booking-3";

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final Map<String, Integer> applied = new LinkedHashMap<>();
    private final Map<String, Double> firstSeenMs = new LinkedHashMap<>();
    private boolean answerLost;
    private final List<String> toldHarmless = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();

    private RepeatedBooking(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            try {
                code = new RepeatedBooking(record).run();
            } catch (Exception e) {
                record.line("could not run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery(record);
        for (int i = 1; i <= 3; i++) {
            SlotServer server = new SlotServer("s-" + i, record, this::serve);
            discovery.publish(server.id(), server.address(), "decin", i, "SERVING");
        }
        int port = Node.freePort();
        Path folder = Node.folder();
        Path config = new Config()
                .listen(port)
                .discovery(discovery.address())
                .known(discovery.wholeList())
                .inClass("slot-booking", "Effect", "\"by_key\"")
                .inClass("slot-booking", "Group", "\"all\"")
                .inClass("slot-booking", "RepeatWindowS", "1.0")
                .write(folder.resolve("node.json"));
        Node node = Node.start(config, Node.folder(), folder.resolve("node.log"));
        Node.awaitPong(port, 30_000);
        List<Thread> clients = new ArrayList<>();
        AtomicInteger finished = new AtomicInteger();
        for (int i = 0; i < BOOKINGS; i++) {
            String key = "booking-" + i;
            clients.add(Threads.start(() -> {
                book(port, key);
                finished.incrementAndGet();
            }));
            Threads.sleepMs(400);
        }
        for (Thread client : clients) {
            client.join(30_000);
        }
        if (finished.get() < BOOKINGS || !node.isAlive()) {
            record.line("could not run: %d clients finished, node alive: %s", finished.get(), node.isAlive());
            return 2;
        }
        return verdict();
    }

    private synchronized int verdict() {
        applied.forEach((key, times) -> record.line("%s was applied %d times", key, times));
        boolean once = applied.values().stream().allMatch(times -> times == 1);
        boolean all = applied.size() == BOOKINGS;
        record.line("told that a repeat is harmless although it had run and the window was over: %s", toldHarmless);
        record.line(once ? "held: no booking was applied twice" : "BROKEN: a booking was applied twice");
        return !once ? 1 : all ? 0 : 2;
    }

    /** A slot server: throws a repeat of a key away inside the window, else applies it. */
    private void serve(SlotServer server, Line line, String first) throws Exception {
        String key = SlotServer.key(first);
        boolean lost;
        synchronized (this) {
            double nowMs = Record.nowMs();
            Double seenMs = firstSeenMs.get(key);
            if (seenMs == null || nowMs > seenMs + WINDOW_MS + WINDOW_SLACK_MS) {
                firstSeenMs.put(key, nowMs);
                applied.merge(key, 1, Integer::sum);
                record.line("%s applied %s, time %d", server.id(), key, applied.get(key));
            } else {
                record.line("%s threw a repeat of %s away", server.id(), key);
            }
            lost = trouble && key.equals(BOOKING_WITH_LOST_ANSWER) && !answerLost;
            answerLost |= lost;
        }
        if (lost) {
            record.line("%s: the answer to %s is lost", server.id(), key);
            line.read(60_000);
            return;
        }
        line.send("UP " + server.id() + "-" + key);
        SlotServer.echo(line);
    }

    /** A client: after BUSY it comes again with the same key; it waits no longer than it said. */
    private void book(int port, String key) throws Exception {
        for (int attempt = 0; attempt < 4; attempt++) {
            String id = "id" + ids.incrementAndGet();
            try (Line line = new Line(new Socket(InetAddress.getLoopbackAddress(), port))) {
                String open = "OPEN " + id + " " + key + " c=slot-booking,t=melnik-terminal,d=" + CLIENT_WAITS_MS;
                line.send(open);
                record.line("client sent: %s", open);
                String answer = answer(line);
                record.line("client of %s got: %s", key, answer);
                if (!answer.startsWith("BUSY")) {
                    return;
                }
                synchronized (this) {
                    if (applied.containsKey(key) && Record.nowMs() > firstSeenMs.get(key) + WINDOW_MS + WINDOW_SLACK_MS) {
                        toldHarmless.add(key);
                    }
                }
                Threads.sleepMs(answer.length() > 5 ? Double.parseDouble(answer.substring(5)) : 50);
            }
        }
    }

    private static String answer(Line line) throws IOException {
        try {
            return String.valueOf(line.read(CLIENT_WAITS_MS + 500));
        } catch (SocketTimeoutException e) {
            return "nothing in time";
        }
    }
}
