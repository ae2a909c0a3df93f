package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.stream.Stream;

/** What the cases share: a work folder, nodes started by the deploy file's `run`, and the record. */
public final class Case {
    /** A result that ends a case: the exit code and why. */
    public static final class Result extends RuntimeException {
        private static final long serialVersionUID = 1;
        final int code;

        public Result(int code, String why) {
            super(why);
            this.code = code;
        }
    }

    public interface Body {
        void play(Case of) throws Exception;
    }

    private static final long WATCHDOG_S = 110;

    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    public final Path root;
    public final Path work;
    private final String run;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Process> nodes = new ArrayList<>();

    private Case(String[] arguments) throws IOException {
        root = Path.of(arguments[0]);
        run = arguments[2];
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[1], "record.txt")), true);
        work = Files.createTempDirectory("review");
        Files.createSymbolicLink(work.resolve("node"), root.resolve("node"));
        Files.createDirectory(work.resolve("deploy"));
        Files.copy(root.resolve("deploy/tulipshed.sexp"), work.resolve("deploy/tulipshed.sexp"));
    }

    public static void main(String[] arguments, Body body) {
        Case played;
        try {
            played = new Case(arguments);
        } catch (IOException e) {
            System.err.println("cannot run: " + e);
            System.exit(2);
            return;
        }
        Thread watchdog = new Thread(() -> {
            sleep(WATCHDOG_S * 1000);
            played.end(2, "took too long");
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(played::killNodes));
        try {
            body.play(played);
            played.end(2, "ended without a result");
        } catch (Result result) {
            played.end(result.code, result.getMessage());
        } catch (Throwable e) {
            e.printStackTrace();
            played.end(2, "could not run: " + e);
        }
    }

    private synchronized void end(int code, String why) {
        String line = (code == 1 ? "BROKEN: " : code == 0 ? "HELD: " : "COULD NOT RUN: ") + why;
        log(line);
        System.out.println(line);
        killNodes();
        try (Stream<Path> files = Files.walk(work)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println(e);
        }
        Runtime.getRuntime().halt(code);
    }

    private void killNodes() {
        for (Process node : nodes) {
            node.destroyForcibly();
            try {
                node.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Milliseconds since the case began. */
    public double nowMs() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    /** Writes a line of the record. */
    public void log(String line) {
        record.println(String.format(Locale.ROOT, "%9.1f %s", nowMs(), line));
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public void sleepUntil(double ms) {
        sleep(Math.max(0, (long) (ms - nowMs())));
    }

    public static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static int freeTcpPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    public static int freeUdpPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** example/node.json with these addresses and this list of servers. */
    public String config(int clientPort, int discoveryPort, long version, String servers) throws IOException {
        String json = Files.readString(root.resolve("example/node.json"))
                .replace("127.0.0.1:18080", "127.0.0.1:" + clientPort)
                .replace("127.0.0.1:18500", "127.0.0.1:" + discoveryPort)
                .replace("\"version\": 1,", "\"version\": " + version + ",");
        return json.replaceFirst(
                "\"servers\": \\[[\\s\\S]*?\\n  \\]", Matcher.quoteReplacement("\"servers\": [" + servers + "]"));
    }

    /** Starts a node by `run` in a work folder that holds the operators' file, and waits for PONG. */
    public Process startNode(String config, int clientPort) throws IOException {
        Files.writeString(work.resolve("config.json"), config);
        Process node = launch("node", null);
        awaitReady(node, () -> answersPing(clientPort));
        return node;
    }

    /** Starts `run` with the configuration that stands, and this second address or none. */
    public Process launch(String name, String management) throws IOException {
        Path file = work.resolve("config.json");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(work.toFile());
        builder.environment().put("PROXY_CONFIG", file.toString());
        builder.environment()
                .put("TMPDIR", Files.createDirectories(work.resolve("tmp")).toString());
        if (management == null) {
            builder.environment().remove("PROXY_MANAGEMENT");
        } else {
            builder.environment().put("PROXY_MANAGEMENT", management);
        }
        builder.redirectErrorStream(true);
        Process node = builder.start();
        nodes.add(node);
        daemon(() -> {
            try (var lines = node.inputReader(StandardCharsets.UTF_8)) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    log(name + " log: " + line);
                }
            } catch (IOException e) {
                log(name + " log ended: " + e);
            }
        });
        return node;
    }

    /** Replaces the configuration and sends SIGHUP. */
    public void reload(Process node, String config, String what) throws IOException, InterruptedException {
        Path changed = work.resolve("config.next");
        Files.writeString(changed, config);
        Files.move(changed, work.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
        log("SIGHUP, " + what);
        new ProcessBuilder("kill", "-HUP", String.valueOf(node.pid())).start().waitFor();
    }

    /** Waits until a process is ready, for 30 s at most. */
    public void awaitReady(Process node, BooleanSupplier isReady) {
        for (int i = 0; i < 600; i++) {
            if (!node.isAlive()) {
                throw new Result(2, "the node did not start");
            }
            if (isReady.getAsBoolean()) {
                log("node is ready");
                return;
            }
            sleep(50);
        }
        throw new Result(2, "the node was not ready within 30 s");
    }

    /** Whether GET /status is answered with a yes. */
    public static boolean saysYes(int port) {
        try {
            var connection = (HttpURLConnection) new URL("http://127.0.0.1:" + port + "/status").openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            return connection.getResponseCode() / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean answersPing(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 500);
            socket.setSoTimeout(500);
            socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
            return socket.getInputStream().read() == 'P';
        } catch (IOException e) {
            return false;
        }
    }
}
