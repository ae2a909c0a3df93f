package tulipshed.emulator.loadtest;

import java.util.List;

/** Samples what processes use in regular intervals, on a thread of its own. */
final class UsageSampler implements AutoCloseable {
    private static final long INTERVAL_MS = 200;

    private final List<ProcessUsage> usages;
    private final Thread thread;

    /** Starts sampling. */
    UsageSampler(List<ProcessUsage> usages) {
        this.usages = List.copyOf(usages);
        thread = new Thread(this::run, "usage");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                usages.forEach(ProcessUsage::sample);
                Thread.sleep(INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends sampling with one last sample of each, while the processes still run. */
    @Override
    public void close() {
        thread.interrupt();
        usages.forEach(ProcessUsage::sample);
    }
}
