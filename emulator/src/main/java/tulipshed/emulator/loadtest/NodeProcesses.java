package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The processes of the nodes of a run, and the folder with their configurations. */
final class NodeProcesses {
    private static final double MAX_START_MS = 30_000;
    private static final long POLL_MS = 20;
    private static final long USAGE_INTERVAL_MS = 200;
    private static final long SCHEDULE_INTERVAL_MS = 20;
    private static final double NANOS_PER_MILLI = 1e6;

    private final NodeCommand command;
    private final Path folder = Files.createTempDirectory("tulipshed-load");
    private final List<NodeProcess> processes = new ArrayList<>();

    /** No processes yet; all are started by this command. */
    NodeProcesses(NodeCommand command) throws IOException {
        this.command = command;
    }

    /** Adds the process of the next node; it is not started. */
    NodeProcess add() {
        try {
            int node = processes.size();
            NodeProcess process = new NodeProcess(command, configurationFile(node), temporaryFolder(node));
            processes.add(process);
            return process;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The process of a node. */
    NodeProcess get(int node) {
        return processes.get(node);
    }

    int size() {
        return processes.size();
    }

    /** The configuration file of a node. */
    Path configurationFile(int node) {
        return folder.resolve("node-" + node + ".json");
    }

    /** The folder of a node's hot-restart file. */
    Path temporaryFolder(int node) {
        return folder.resolve("tmp-" + node);
    }

    /** Starts all processes, which sampling of their usage may follow. */
    void startAll() {
        processes.forEach(NodeProcess::start);
    }

    /** Samples what each process uses, until it is closed. */
    PeriodicSampler sampleUsage() {
        return new PeriodicSampler(
                "usage",
                USAGE_INTERVAL_MS,
                processes.stream()
                        .<Runnable>map(process -> process.usage()::sample)
                        .toList());
    }

    /** Samples how the I/O thread of each process is scheduled, until it is closed. */
    PeriodicSampler sampleSchedules() {
        return new PeriodicSampler(
                "schedules",
                SCHEDULE_INTERVAL_MS,
                processes.stream()
                        .<Runnable>map(process -> process.schedule()::sample)
                        .toList());
    }

    /**
     * Waits until all nodes accept clients.
     *
     * @throws IOException if they do not in time
     */
    void awaitServing() throws IOException, InterruptedException {
        long startedNs = System.nanoTime();
        while (!processes.stream().allMatch(NodeProcess::serves)) {
            if ((System.nanoTime() - startedNs) / NANOS_PER_MILLI > MAX_START_MS) {
                throw new IOException("the nodes do not serve after " + MAX_START_MS + " ms");
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** The nodes whose process ended although nothing had ended it. */
    List<Integer> crashed() {
        List<Integer> crashed = new ArrayList<>();
        for (int node = 0; node < processes.size(); node++) {
            if (processes.get(node).crashed()) {
                crashed.add(node);
            }
        }
        return crashed;
    }

    /** What the processes logged between two moments of the run, in the order of time. */
    List<String> logged(double fromMs, double toMs, RunClock clock) {
        Map<Double, String> lines = new TreeMap<>();
        for (int node = 0; node < processes.size(); node++) {
            for (NodeProcess.Line line : processes.get(node).said()) {
                double atMs = clock.toRunMs(line.atNs());
                if (atMs >= fromMs && atMs <= toMs) {
                    lines.merge(
                            atMs,
                            String.format(Locale.ROOT, "%9.1f ms  n%d  %s", atMs, node, line.text()),
                            (first, second) -> first + "\n" + second);
                }
            }
        }
        return List.copyOf(lines.values());
    }

    /** The addresses at which the nodes listen. */
    List<String> addresses() {
        return processes.stream().map(process -> process.address().toString()).toList();
    }

    /** Ends all processes. */
    void stopAll() {
        processes.forEach(process -> process.stop(false));
    }

    /** Deletes the folder. */
    void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
