package tulipshed.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A node in a separate process, with its log.
 *
 * <p>The process is started by the constructor and killed by {@link #close}. Its standard output and standard error are
 * read as one log by a daemon thread; all other members are for one test thread.
 */
public final class NodeProcess implements AutoCloseable {
    private static final String END_OF_LOG = "\0";
    private static final int LOG_TIMEOUT_S = 20;

    private final Process process;
    private final List<String> readLines = new ArrayList<>();
    private final BlockingQueue<String> unreadLines = new LinkedBlockingQueue<>();

    /** Starts {@code serve} with these arguments; the environment variables are added to those of this process. */
    public NodeProcess(Map<String, String> environment, String... arguments) throws IOException {
        this(List.of(), environment, arguments);
    }

    /**
     * Starts {@code serve} through another command.
     *
     * @param launcher the words of a command that executes its remaining arguments, such as {@code sh -c 'exec "$@"' sh};
     *     empty to start the node directly
     * @param environment variables that are added to those of this process
     * @param arguments arguments of {@code serve}
     */
    public NodeProcess(List<String> launcher, Map<String, String> environment, String... arguments) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(launcher, arguments));
        builder.environment().putAll(environment);
        process = builder.redirectErrorStream(true).start();
        Thread reader = new Thread(this::readLog, "log of " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    private static List<String> command(List<String> launcher, String... arguments) {
        List<String> command = new ArrayList<>(launcher);
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "--add-exports",
                "java.base/sun.nio.ch=ALL-UNNAMED",
                "-cp",
                System.getProperty("java.class.path"),
                "tulipshed.cli.Main",
                "serve"));
        command.addAll(List.of(arguments));
        return command;
    }

    private void readLog() {
        try {
            process.inputReader().lines().forEach(unreadLines::add);
        } catch (UncheckedIOException closed) {
            // The process was killed by close().
        }
        unreadLines.add(END_OF_LOG);
    }

    /** Returns the next log line about a reload, accepted or rejected; see {@link #awaitLogLine}. */
    public String awaitReloadLine() throws IOException {
        return awaitLogLine("INFO node: configuration reloaded", "WARN node: configuration rejected");
    }

    /**
     * Reads the log up to the next line that starts with one of the given texts.
     *
     * @return that line, or null at the end of the log or when no line arrives for 20 s
     */
    public String awaitLogLine(String... prefixes) throws IOException {
        String line;
        do {
            line = nextLine();
            readLines.add(String.valueOf(line));
        } while (line != null && !line.equals(END_OF_LOG) && Stream.of(prefixes).noneMatch(line::startsWith));
        return END_OF_LOG.equals(line) ? null : line;
    }

    private String nextLine() throws IOException {
        try {
            return unreadLines.poll(LOG_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
    }

    /** Returns the log lines read so far, with the text "null" for a timeout and a NUL character for the end of the log. */
    public List<String> readLines() {
        return readLines;
    }

    /** Sends a signal, named without the prefix {@code SIG}: {@code HUP}, {@code TERM}, {@code KILL}. */
    public void sendSignal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    /** Waits for the process to exit; returns false if it still runs after this many seconds. */
    public boolean awaitExit(int seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    /** Returns the exit code of a process that has exited. */
    public int exitCode() {
        return process.exitValue();
    }

    /** Returns whether the process still runs. */
    public boolean isRunning() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
