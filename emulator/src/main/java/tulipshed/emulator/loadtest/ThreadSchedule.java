package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongToDoubleFunction;
import java.util.stream.Stream;

/**
 * How long the I/O threads of one node's processes ran, and how long they waited for a processor although they could run,
 * sampled from outside. Read from {@code /proc/PID/task/TID/schedstat}; where the system has none, nothing is recorded.
 * Thread-safe.
 */
public final class ThreadSchedule {
    private static final String IO_THREAD_NAME = "tulipshed I/O-1";
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAX_SAMPLES = 5000;

    /**
     * What a thread did in a part of a run.
     *
     * @param ranMs how long it ran, in milliseconds
     * @param waitedMs how long it waited for a processor, in milliseconds
     */
    public record Share(double ranMs, double waitedMs) {}

    /** Totals over all processes of the node up to a moment, in nanoseconds. */
    private record Sample(long atNs, long ranNs, long waitedNs) {
        static final Sample NONE = new Sample(Long.MIN_VALUE, 0, 0);
    }

    private final Deque<Sample> samples = new ArrayDeque<>();
    private long pid = -1;
    private Path schedule;
    private Sample ended = Sample.NONE;

    /** Samples the process with this ID from now on. */
    synchronized void follow(long processId) {
        pid = processId;
        schedule = null;
        ended = samples.isEmpty() ? Sample.NONE : samples.getLast();
    }

    /** Takes a sample of the process, if it runs and has an I/O thread. */
    synchronized void sample() {
        if (schedule == null && pid >= 0) {
            schedule = findSchedule(pid).orElse(null);
        }
        if (schedule == null) {
            return;
        }
        try {
            String[] figures = Files.readString(schedule).trim().split(" ");
            samples.add(new Sample(
                    System.nanoTime(),
                    ended.ranNs() + Long.parseLong(figures[0]),
                    ended.waitedNs() + Long.parseLong(figures[1])));
            if (samples.size() > MAX_SAMPLES) {
                samples.poll();
            }
        } catch (IOException e) {
            schedule = null; // the process has ended
        }
    }

    private static Optional<Path> findSchedule(long pid) {
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
            return threads.filter(ThreadSchedule::isIoThread)
                    .map(thread -> thread.resolve("schedstat"))
                    .filter(Files::isReadable)
                    .findFirst();
        } catch (IOException | UncheckedIOException e) {
            return Optional.empty(); // the process has ended
        }
    }

    private static boolean isIoThread(Path thread) {
        try {
            return Files.readString(thread.resolve("comm")).trim().equals(IO_THREAD_NAME);
        } catch (IOException e) {
            return false; // the thread has ended
        }
    }

    /**
     * Returns what the I/O thread did between two moments, to the precision of the samples around them; empty where no
     * sample was taken.
     *
     * @param toRunMs the moment of the run, in milliseconds, at a reading of {@link System#nanoTime}
     */
    synchronized Optional<Share> between(double fromMs, double untilMs, LongToDoubleFunction toRunMs) {
        Sample first = null;
        Sample last = null;
        for (Sample sample : samples) {
            double atMs = toRunMs.applyAsDouble(sample.atNs());
            if (first == null || atMs <= fromMs) {
                first = sample;
            }
            if (last == null || toRunMs.applyAsDouble(last.atNs()) < untilMs) {
                last = sample;
            }
        }
        return first == null
                ? Optional.empty()
                : Optional.of(new Share(
                        (last.ranNs() - first.ranNs()) / NANOS_PER_MILLI,
                        (last.waitedNs() - first.waitedNs()) / NANOS_PER_MILLI));
    }
}
