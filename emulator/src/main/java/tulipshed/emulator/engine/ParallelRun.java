package tulipshed.emulator.engine;

import java.util.concurrent.atomic.AtomicReference;

/** One run of an engine with a thread for each shard. The threads pass from window to window in step. */
final class ParallelRun {
    private static final int CACHE_LINE_LONGS = 8;

    private final Shard[] shards;
    private final long endWindow;
    private final SpinBarrier barrier;
    /** The next window of each shard, each on a cache line of its own. */
    private final long[] nextWindows;

    private final AtomicReference<Throwable> failure = new AtomicReference<>();

    ParallelRun(Shard[] shards, long endWindow) {
        this.shards = shards;
        this.endWindow = endWindow;
        barrier = new SpinBarrier(shards.length);
        nextWindows = new long[shards.length * CACHE_LINE_LONGS];
    }

    /** Runs all windows before the end; throws what an actor has thrown. */
    void run() {
        Thread[] threads = new Thread[shards.length];
        for (int i = 0; i < shards.length; i++) {
            Shard shard = shards[i];
            threads[i] = new Thread(() -> runGuarded(shard), "emulator-" + i);
            threads[i].start();
        }
        awaitEnd(threads);
        if (failure.get() instanceof RuntimeException e) {
            throw e;
        } else if (failure.get() instanceof Error e) {
            throw e;
        }
    }

    private void runGuarded(Shard shard) {
        try {
            runWindows(shard);
        } catch (RuntimeException | Error e) {
            failure.compareAndSet(null, e);
            barrier.breakUp();
        }
    }

    private void runWindows(Shard shard) {
        while (true) {
            shard.collect(shards);
            nextWindows[shard.number() * CACHE_LINE_LONGS] = shard.nextWindow();
            barrier.await();
            long window = earliestWindow();
            if (window >= endWindow || failure.get() != null) {
                return;
            }
            shard.run(window);
            barrier.await();
        }
    }

    private long earliestWindow() {
        long earliest = Long.MAX_VALUE;
        for (int i = 0; i < shards.length; i++) {
            earliest = Math.min(earliest, nextWindows[i * CACHE_LINE_LONGS]);
        }
        return earliest;
    }

    private void awaitEnd(Thread[] threads) {
        boolean interrupted = false;
        for (Thread thread : threads) {
            while (true) {
                try {
                    thread.join();
                    break;
                } catch (InterruptedException e) {
                    interrupted = true;
                    barrier.breakUp();
                }
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
