package tulipshed.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A node in a process of its own, and the line protocol's small talk with it. */
public final class NodeProcess implements AutoCloseable {
    private static final String END = "\0";
    private static final int LOG_S = 20;

    public final Process process;
    /** The lines of its log that were read so far. */
    public final List<String> said = new ArrayList<>();

    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();

    /** Starts {@code serve} with these variables beside those of this process. */
    public NodeProcess(Map<String, String> environment, String... arguments) throws IOException {
        this(List.of(), environment, arguments);
    }

    /** The same, started by a command that is given the node's own as its arguments. */
    public NodeProcess(List<String> by, Map<String, String> environment, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(by);
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "--add-exports",
                "java.base/sun.nio.ch=ALL-UNNAMED",
                "-cp",
                System.getProperty("java.class.path"),
                "tulipshed.cli.Main",
                "serve"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        process = builder.redirectErrorStream(true).start();
        Thread reader = new Thread(
                () -> {
                    try {
                        process.inputReader().lines().forEach(log::add);
                    } catch (UncheckedIOException closed) {
                        // Its process was ended from here.
                    }
                    log.add(END);
                },
                "log of " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    /** The next line of its log that tells of a reload, taken or rejected. */
    public String reloadLine() throws IOException {
        return log("INFO node: configuration reloaded", "WARN node: configuration rejected");
    }

    /** The next line of its log that starts with one of these, or null at the end or after a long silence. */
    public String log(String... starts) throws IOException {
        String line;
        do {
            try {
                line = log.poll(LOG_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IOException("interrupted", e);
            }
            said.add(String.valueOf(line));
        } while (line != null && !line.equals(END) && Stream.of(starts).noneMatch(line::startsWith));
        return END.equals(line) ? null : line;
    }

    public void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, "" + process.pid())
                        .start()
                        .waitFor());
    }

    public boolean ended(int seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    /** A port on loopback that nobody listens on. */
    public static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** A UDP port on loopback that nobody hears on. */
    public static int freeUdpPort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    public static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(5000);
        return socket;
    }

    public static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    public static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** The first line that the second address answers to a call, and the body. */
    public static String call(int port, String path) throws IOException {
        try (Socket staff = connect(port)) {
            say(staff, "GET " + path + " HTTP/1.1\r\nHost: n0\r\n\r\n");
            return new String(staff.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
