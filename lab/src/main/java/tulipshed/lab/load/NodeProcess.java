package tulipshed.lab.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;

/** A node as a process of its own, started with its configuration, and started again as often as it is stopped. */
final class NodeProcess {
    private final Path jar;
    private final Path config;
    private final Path temporary;
    private Process process;
    private final InetSocketAddress address;
    private volatile boolean serves;
    private boolean killed;

    /** A node that its configuration has listen on a port of its own. */
    NodeProcess(Path jar, Path config, Path temporary) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        this.jar = jar;
        this.config = config;
        this.temporary = temporary;
    }

    /** Starts it; it serves some time later. */
    void start() {
        serves = false;
        killed = false;
        ProcessBuilder b = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Djava.io.tmpdir=" + temporary, "-jar",
                jar.toString(), "serve"));
        b.environment().put("PROXY_CONFIG", config.toString());
        b.environment().put("TMPDIR", temporary.toString());
        try {
            process = b.redirectErrorStream(true).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Process mine = process;
        Thread reader = new Thread(() -> read(mine), "node-log");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process of) {
        try (BufferedReader log = of.inputReader()) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                serves |= line.contains(" serves on ") && of == process;
                if (line.contains("fault") || line.contains("Exception")) {
                    System.err.println("node: " + line);
                }
            }
        } catch (IOException e) {
            // It was ended while it spoke.
            return;
        }
    }

    boolean serves() {
        return serves && process.isAlive();
    }

    /** Whether it was killed, and no other has been started since: it owes nothing. */
    boolean killed() {
        return killed;
    }

    boolean alive() {
        return process.isAlive();
    }

    InetSocketAddress address() {
        return address;
    }

    void stop(boolean politely) {
        serves = false;
        if (politely) {
            process.destroy();
        } else {
            killed = true;
            process.destroyForcibly();
        }
    }
}
