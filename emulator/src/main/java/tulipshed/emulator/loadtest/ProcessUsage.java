package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What the processes of one node have used so far, sampled from outside while they run. One that has ended counts with its
 * last sample. Memory and descriptors are read from {@code /proc} and stay 0 where the system has none. Thread-safe.
 */
final class ProcessUsage {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double KIB_PER_MIB = 1024;
    private static final String PEAK_MEMORY_FIELD = "VmHWM:";

    private ProcessHandle process;
    private double endedCpuSeconds;
    private double currentCpuSeconds;
    private double peakMemoryMib;
    private int peakDescriptors;

    /** Samples this process from now on; those before it count with what they had used. */
    synchronized void follow(ProcessHandle next) {
        process = next;
        endedCpuSeconds += currentCpuSeconds;
        currentCpuSeconds = 0;
    }

    /** Takes a sample of the process, if it still runs. */
    synchronized void sample() {
        if (process == null) {
            return;
        }
        Optional<Duration> cpu = process.info().totalCpuDuration();
        cpu.ifPresent(total -> currentCpuSeconds = Math.max(currentCpuSeconds, total.toNanos() / NANOS_PER_SECOND));
        Path directory = Path.of("/proc", Long.toString(process.pid()));
        peakMemoryMib = Math.max(peakMemoryMib, peakMemoryMib(directory));
        peakDescriptors = Math.max(peakDescriptors, descriptors(directory));
    }

    /** The largest resident memory that the system has recorded for the process, in MiB. */
    private static double peakMemoryMib(Path directory) {
        try (Stream<String> lines = Files.lines(directory.resolve("status"))) {
            return lines.filter(line -> line.startsWith(PEAK_MEMORY_FIELD))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / KIB_PER_MIB)
                    .findFirst()
                    .orElse(0);
        } catch (IOException | java.io.UncheckedIOException e) {
            return 0; // the process has ended
        }
    }

    private static int descriptors(Path directory) {
        String[] open = directory.resolve("fd").toFile().list();
        return open == null ? 0 : open.length;
    }

    /** Processor time of all processes so far, in seconds. */
    synchronized double cpuSeconds() {
        return endedCpuSeconds + currentCpuSeconds;
    }

    /** The largest resident memory of any of the processes, in MiB. */
    synchronized double peakMemoryMib() {
        return peakMemoryMib;
    }

    /** The most descriptors that a sample found open. */
    synchronized int peakDescriptors() {
        return peakDescriptors;
    }
}
