package tulipshed.emulator.loadtest;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A node as a process of its own, started with its configuration, and started again as often as it is stopped. */
final class NodeProcess {
    private static final int LINES = 2000;
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 10_000;
    private static final AtomicInteger STARTED = new AtomicInteger();
    private final NodeCommand command;
    private final Path config;
    private final Path temporary;
    private Process process;
    private final InetSocketAddress address;
    private final Deque<Line> said = new ArrayDeque<>();
    private final ProcessUsage usage = new ProcessUsage();
    private final ThreadSchedule schedule = new ThreadSchedule();
    private volatile boolean serves;
    private boolean killed;
    private boolean stopped;

    /** A line of its log, and when it came. */
    record Line(long atNs, String text) {}

    /** A node that its configuration has listen on an address of its own. */
    NodeProcess(NodeCommand command, Path config, Path temporary) throws IOException {
        // A free port that the kernel names may be somebody else's by the time that the node has started, another run's
        // too: its
        // clients would come to the wrong fleet. So the address is this process's own, the port below those the kernel
        // gives.
        long pid = ProcessHandle.current().pid();
        address = new InetSocketAddress(
                InetAddress.getByAddress(new byte[] {
                    127, (byte) (1 + pid / 250 / 250 % 250), (byte) (1 + pid / 250 % 250), (byte) (1 + pid % 250)
                }),
                FIRST_PORT + STARTED.getAndIncrement() % PORTS);
        this.command = command;
        this.config = config;
        this.temporary = temporary;
    }

    /** Starts it; it serves some time later. */
    void start() {
        serves = false;
        killed = false;
        stopped = false;
        ProcessBuilder b = new ProcessBuilder(command.words())
                .directory(command.directory().toFile());
        b.environment().put("PROXY_CONFIG", config.toString());
        b.environment().put("TMPDIR", temporary.toString());
        try {
            process = b.redirectErrorStream(true).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        usage.follow(process.toHandle());
        schedule.follow(process.pid());
        Process mine = process;
        Thread reader = new Thread(() -> read(mine), "node-log");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process of) {
        try (BufferedReader log = of.inputReader()) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                remember(line);
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

    private synchronized void remember(String line) {
        said.add(new Line(System.nanoTime(), line));
        if (said.size() > LINES) {
            said.poll();
        }
    }

    /** The last lines of its log, over all its starts. */
    synchronized List<Line> said() {
        return List.copyOf(said);
    }

    /** Whether it ended although nobody stopped it. */
    boolean crashed() {
        return process != null && !stopped && !process.isAlive();
    }

    /** Suspends the process (SIGSTOP), or resumes it (SIGCONT). */
    void setSuspended(boolean suspended) {
        sendSignal(suspended ? "STOP" : "CONT");
    }

    /** Has the process reload its configuration (SIGHUP). */
    void reload() {
        sendSignal("HUP");
    }

    /** Whether it was told to end. */
    boolean stopped() {
        return stopped;
    }

    private void sendSignal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
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

    /** What its processes have used so far. */
    ProcessUsage usage() {
        return usage;
    }

    /** How the I/O threads of its processes were scheduled so far. */
    ThreadSchedule schedule() {
        return schedule;
    }

    InetSocketAddress address() {
        return address;
    }

    void stop(boolean politely) {
        serves = false;
        stopped = true;
        if (process == null) {
            return;
        }
        if (politely) {
            process.destroy();
        } else {
            killed = true;
            process.destroyForcibly();
        }
    }
}
