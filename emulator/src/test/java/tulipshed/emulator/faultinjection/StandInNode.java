package tulipshed.emulator.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.jar.Attributes;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The plainest node there is, in a process of its own: any member by chance, one flow a client, what its list says. One of its
 * faults may be put in on purpose, so that checkers can be shown to find it. Its jar's name says which.
 */
public final class StandInNode {
    private static final int ASKS_MS = 50;
    private static final int TICK_MS = 20;
    private static final long STOPPED_NS = 500_000_000; // a longer gap between ticks was a stop
    private static final long SILENT_NS = 300_000_000; // after it
    private static final long ANSWER_MARGIN_MS = 50; // before the client's deadline
    private static final long LONGEST_WAIT_MS = 10_000;
    private static final Pattern DEADLINE = Pattern.compile("[ ,]d=(\\d+)");
    private final String fault;
    private final int discovery;
    private final Random random = new Random(5);
    private final long startedNs = System.nanoTime();
    private volatile long tickNs = startedNs;
    private volatile long silentUntilNs = startedNs;
    private volatile List<Integer> serving = List.of();

    private StandInNode(String fault, JsonNode config) {
        this.fault = fault;
        discovery = port(config.get("discovery").asText());
        config.get("known")
                .get("servers")
                .forEach(s -> serving = with(serving, port(s.get("addr").asText())));
    }

    private static List<Integer> with(List<Integer> some, int more) {
        List<Integer> all = new ArrayList<>(some);
        all.add(more);
        return all;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** A jar of that fault, as the real node's is started. */
    static Path jar(Path folder, String fault) throws IOException {
        Path jar = folder.resolve(fault + ".jar");
        Manifest m = new Manifest();
        m.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        m.getMainAttributes().put(Attributes.Name.MAIN_CLASS, StandInNode.class.getName());
        StringBuilder path = new StringBuilder();
        for (String entry : System.getProperty("java.class.path").split(":")) {
            path.append(Path.of(entry).toUri()).append(' ');
        }
        m.getMainAttributes().put(Attributes.Name.CLASS_PATH, path.toString());
        new JarOutputStream(Files.newOutputStream(jar), m).close();
        return jar;
    }

    public static void main(String[] args) throws Exception {
        String jar = System.getProperty("java.class.path");
        JsonNode config = new ObjectMapper().readTree(Files.readAllBytes(Path.of(System.getenv("PROXY_CONFIG"))));
        StandInNode node = new StandInNode(Path.of(jar).getFileName().toString().replace(".jar", ""), config);
        String listen = config.get("listen").asText();
        try (ServerSocket listener =
                new ServerSocket(port(listen), 256, InetAddress.getByName(listen.substring(0, listen.indexOf(':'))))) {
            start(node::asks);
            System.out.println("stand-in serves on " + listener.getLocalSocketAddress());
            if (node.fault.equals("crashes")) {
                start(() -> {
                    Thread.sleep(2500);
                    Runtime.getRuntime().halt(3);
                });
            }
            if (node.fault.equals("forgets-when-stopped")) {
                start(node::ticks);
            }
            while (!node.fault.equals("refuses-connections") || !node.runs(4000)) {
                Socket client = listener.accept();
                start(() -> node.serve(client));
            }
        }
        Thread.sleep(60_000);
    }

    private boolean runs(long ms) {
        return System.nanoTime() - startedNs > ms * 1_000_000;
    }

    private void ticks() throws InterruptedException {
        while (true) {
            long now = System.nanoTime();
            silentUntilNs = now - tickNs > STOPPED_NS ? now + SILENT_NS : silentUntilNs;
            tickNs = now;
            Thread.sleep(TICK_MS);
        }
    }

    private boolean forgets() {
        long now = System.nanoTime();
        return fault.equals("forgets-when-stopped") && (now - tickNs > STOPPED_NS || now < silentUntilNs);
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void start(Task task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // Its socket has ended, or its list did not come: the next one will.
                return;
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private void asks() throws Exception {
        while (true) {
            HttpURLConnection call =
                    (HttpURLConnection) new URL("http://127.0.0.1:" + discovery + "/discovery/hosts").openConnection();
            call.setReadTimeout(1000);
            try {
                List<Integer> now = new ArrayList<>();
                for (JsonNode s :
                        new ObjectMapper().readTree(call.getInputStream()).get("servers")) {
                    if (s.get("state").asText().equals("SERVING")) {
                        now.add(port(s.get("addr").asText()));
                    }
                }
                serving = fault.equals("keeps-drained") ? serving : now;
            } catch (IOException e) {
                // It keeps the list that it has.
                call.disconnect();
            }
            Thread.sleep(ASKS_MS);
        }
    }

    private static BufferedReader reader(Socket s) throws IOException {
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static void say(Socket s, String line) throws IOException {
        OutputStream out = s.getOutputStream();
        out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private Socket open(String line) throws IOException {
        List<Integer> now = serving;
        int port;
        synchronized (random) {
            port = now.get(random.nextInt(now.size()));
        }
        Socket member = new Socket(InetAddress.getLoopbackAddress(), port);
        member.setTcpNoDelay(true);
        say(member, line);
        return member;
    }

    private boolean now(double share) {
        synchronized (random) {
            return random.nextDouble() < share;
        }
    }

    private void serve(Socket client) throws Exception {
        client.setTcpNoDelay(true);
        BufferedReader in = reader(client);
        String line = in.readLine();
        long receivedNs = System.nanoTime();
        boolean silentAtEnd = fault.equals("silent-at-the-end") && runs(8200);
        if (line == null || silentAtEnd || forgets() || (fault.equals("silence") && now(0.2))) {
            Thread.sleep(60_000);
            return;
        }
        if (fault.equals("strange-line") && now(0.2)) {
            open("OPEN 00ffffffffffff00 k c=c,t=all,d=100").close();
        }
        if (fault.equals("retries-without-bound")) {
            for (int i = 0; i < 6; i++) {
                open(line).close();
                Thread.sleep(5);
            }
        }
        Socket second = fault.equals("two-flows") && now(0.3) ? open(line) : null;
        Socket member = null;
        BufferedReader back = null;
        String answer = null;
        try {
            member = open(line);
            back = reader(member);
            member.setSoTimeout(remainingMs(line, receivedNs));
            answer = back.readLine();
            member.setSoTimeout(0);
        } catch (IOException e) {
            // Its member has gone or says nothing; the client is told so below.
            answer = null;
        }
        if (fault.equals("late-answer") && now(0.2)) {
            Thread.sleep(2000);
        }
        if (fault.equals("second-answer-after-refusal") && now(0.2)) {
            refuseTwice(client);
            close(member);
            return;
        }
        say(client, answer == null ? "ERR" : answer);
        if (fault.equals("second-answer") && now(0.2)) {
            say(client, answer);
        }
        if (answer == null || !answer.startsWith("UP")) {
            client.close();
            close(member);
            return;
        }
        Socket standing = member;
        start(() -> pass(in, standing, client));
        pass(back, client, standing);
        if (second != null) {
            second.close();
        }
    }

    /** How long a member's answer is waited for, so that the client still hears in time that none came. */
    private static int remainingMs(String line, long receivedNs) {
        Matcher deadline = DEADLINE.matcher(line);
        long allowedMs = deadline.find() ? Long.parseLong(deadline.group(1)) - ANSWER_MARGIN_MS : LONGEST_WAIT_MS;
        long spentMs = (System.nanoTime() - receivedNs) / 1_000_000;
        return (int) Math.max(1, allowedMs - spentMs);
    }

    private static void close(Socket member) throws IOException {
        if (member != null) {
            member.close();
        }
    }

    private static void refuseTwice(Socket client) throws Exception {
        say(client, "ERR");
        Thread.sleep(5);
        say(client, "BUSY");
        client.close();
    }

    private static void pass(BufferedReader from, Socket to, Socket other) throws IOException {
        try {
            for (String line = from.readLine(); line != null; line = from.readLine()) {
                say(to, line);
            }
        } finally {
            to.close();
            other.close();
        }
    }
}
