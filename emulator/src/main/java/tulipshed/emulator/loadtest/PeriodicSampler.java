package tulipshed.emulator.loadtest;

import java.util.List;

/** Takes samples in regular intervals, on a thread of its own. */
final class PeriodicSampler implements AutoCloseable {
    private final List<Runnable> samples;
    private final long intervalMs;
    private final Thread thread;

    /**
     * Starts sampling.
     *
     * @param samples what takes one sample each; called by two threads
     */
    PeriodicSampler(String name, long intervalMs, List<Runnable> samples) {
        this.intervalMs = intervalMs;
        this.samples = List.copyOf(samples);
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                samples.forEach(Runnable::run);
                Thread.sleep(intervalMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends sampling with one last sample of each, while the processes still run. */
    @Override
    public void close() {
        thread.interrupt();
        samples.forEach(Runnable::run);
    }
}
