package standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Nodes as the platform starts them: by `run` of the deploy file, with PROXY_CONFIG and a private TMPDIR. */
public final class Node {
    private static final List<Process> STARTED = new ArrayList<>();
    private static final List<Path> FOLDERS = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Node::endAll));
    }

    private final Process process;

    private Node(Process process) {
        this.process = process;
    }

    /** A port of the loopback address that was free a moment ago. */
    public static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** A temporary folder that is deleted at the end. */
    public static synchronized Path folder() throws IOException {
        Path folder = Files.createTempDirectory("case");
        FOLDERS.add(folder);
        return folder;
    }

    /** Starts a node; its log goes to a file of this name in the folder. */
    public static synchronized Node start(Path config, Path tmp, Path log) throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = builder.start();
        STARTED.add(process);
        return new Node(process);
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    public boolean awaitEnd(int ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Waits until PING on the client address is answered PONG. */
    public static void awaitPong(int port, int timeoutMs) throws Exception {
        long endNs = System.nanoTime() + timeoutMs * 1_000_000L;
        while (System.nanoTime() < endNs) {
            try (Line line = new Line(new Socket(InetAddress.getLoopbackAddress(), port))) {
                line.send("PING");
                if ("PONG".equals(line.read(1000))) {
                    return;
                }
            } catch (IOException e) {
                // Not ready yet.
            }
            Thread.sleep(50);
        }
        throw new IOException("the node is not ready in time");
    }

    /** The answer of GET /status on the management address; 0 where it does not answer. */
    public static int status(int port) {
        try (Line line = new Line(new Socket(InetAddress.getLoopbackAddress(), port))) {
            line.sendRaw("GET /status HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n");
            String first = line.read(1000);
            return first == null ? 0 : Integer.parseInt(first.split(" ")[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Ends all processes that were started and deletes the temporary folders. */
    public static synchronized void endAll() {
        for (Process process : STARTED) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (Path folder : FOLDERS) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            } catch (IOException e) {
                // A folder that is already gone.
            }
        }
    }
}
