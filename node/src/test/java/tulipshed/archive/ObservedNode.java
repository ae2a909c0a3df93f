package tulipshed.archive;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The process of a node and its log. Where its command logs {@code class+load}, the classes that it loaded from anywhere
 * but a class archive are counted. All members but the log's reader are for one thread.
 */
final class ObservedNode implements AutoCloseable {
    private static final String CLASS_LOADED = "[class,load]";
    private static final String FROM_ARCHIVE = "shared objects file";
    private static final int TIMEOUT_S = 20;

    private final Process process;
    private int unarchivedClasses;
    private int servingLines;
    private int reloadLines;
    private boolean ended;

    /** Starts a command whose configuration is in a file, with its shared state in a folder. */
    ObservedNode(List<String> command, Path config, String management, Path temporary) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_MANAGEMENT", management);
        builder.environment().put("TMPDIR", temporary.toString());
        process = builder.start();
        Thread reader = new Thread(this::readLog, "node-log");
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog() {
        try (BufferedReader log = process.inputReader()) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                take(line);
            }
        } catch (IOException e) {
            System.err.println("the node's log ends: " + e);
        }
        endLog();
    }

    private synchronized void take(String line) {
        if (line.contains(CLASS_LOADED)) {
            if (!line.contains(FROM_ARCHIVE)) {
                unarchivedClasses++;
            }
            return;
        }
        System.out.println("  [node] " + line);
        servingLines += line.contains(" serves on ") ? 1 : 0;
        reloadLines += line.contains("configuration reloaded") ? 1 : 0;
        notifyAll();
    }

    private synchronized void endLog() {
        ended = true;
        notifyAll();
    }

    /** Waits until the node accepts clients. */
    void awaitServing() throws IOException, InterruptedException {
        awaitLog(() -> servingLines > 0);
    }

    /** Has the node reload its configuration and waits until it has: its log is then read up to here. */
    void reload() throws IOException, InterruptedException {
        int before = reloadLines();
        sendSignal("HUP");
        awaitLog(() -> reloadLines > before);
    }

    private synchronized int reloadLines() {
        return reloadLines;
    }

    private synchronized void awaitLog(BooleanSupplier reached) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!reached.getAsBoolean()) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
            if (ended || remainingMs <= 0) {
                throw new IOException("the node's log does not go on");
            }
            wait(remainingMs);
        }
    }

    /** Returns how many classes came from no archive, in the part of the log that is read. */
    synchronized int unarchivedClasses() {
        return unarchivedClasses;
    }

    private void sendSignal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Shuts the node down (SIGTERM) and waits for the end of its process, and so for the archive that it may leave. */
    void shutDown() throws IOException, InterruptedException {
        sendSignal("TERM");
        if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IOException("the node does not end");
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
