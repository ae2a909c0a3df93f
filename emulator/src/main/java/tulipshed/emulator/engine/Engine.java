package tulipshed.emulator.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Runs parts through virtual time, in windows as long as the shortest way between two parts. Nothing that happens within
 * a window can be known elsewhere before it ends, so the parts of a window run at the same time; what each is told, and
 * in which order, does not depend on the number of threads (docs/emulator-design.md).
 */
public final class Engine {
    private final Shard[] shards;
    private final double windowMs;
    private final List<Actor> parts = new ArrayList<>();

    /**
     * An engine on that many threads.
     *
     * @param windowMs the shortest time that a message between two parts takes, above 0
     */
    public Engine(int threads, double windowMs) {
        if (threads < 1 || !(windowMs > 0)) {
            throw new IllegalArgumentException(threads + " threads, a window of " + windowMs + " ms");
        }
        // A little shorter: sums of times are rounded, and what is sent at the edge of a window must not fall into it.
        this.windowMs = windowMs * (1 - 1e-3);
        shards = new Shard[threads];
        for (int i = 0; i < threads; i++) {
            shards[i] = new Shard(i, threads, this.windowMs);
        }
    }

    public int threads() {
        return shards.length;
    }

    /** Adds a part; all are there before the first run. */
    public void add(Actor part) {
        // A mixed number: neighbours are of one sort, and would be alone on a shard with their work.
        part.on(shards[Math.floorMod(Integer.hashCode(part.id() * 0x9E3779B9) >>> 8, shards.length)]);
        parts.add(part);
    }

    /** Runs all that is due before that time. */
    public void run(double untilMs) {
        long end = (long) Math.ceil(untilMs / windowMs);
        if (shards.length == 1) {
            Shard only = shards[0];
            only.collect(shards);
            for (long w = only.next(); w < end; w = only.next()) {
                only.run(w);
            }
        } else {
            together(end);
        }
    }

    private void together(long end) {
        SpinBarrier barrier = new SpinBarrier(shards.length);
        long[] next = new long[shards.length * 8]; // a cache line each
        AtomicReference<Throwable> fault = new AtomicReference<>();
        Thread[] threads = new Thread[shards.length];
        for (int i = 0; i < shards.length; i++) {
            Shard mine = shards[i];
            int place = i * 8;
            threads[i] = new Thread(
                    () -> {
                        try {
                            while (true) {
                                mine.collect(shards);
                                next[place] = mine.next();
                                barrier.await();
                                long w = Long.MAX_VALUE;
                                for (int s = 0; s < shards.length; s++) {
                                    w = Math.min(w, next[s * 8]);
                                }
                                if (w >= end || fault.get() != null) {
                                    return;
                                }
                                mine.run(w);
                                barrier.await();
                            }
                        } catch (RuntimeException | Error e) {
                            fault.compareAndSet(null, e);
                            barrier.breakUp();
                        }
                    },
                    "emulator-" + i);
            threads[i].start();
        }
        boolean interrupted = false;
        for (Thread t : threads) {
            while (true) {
                try {
                    t.join();
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
        if (fault.get() instanceof RuntimeException e) {
            throw e;
        } else if (fault.get() instanceof Error e) {
            throw e;
        }
    }

    /** How many messages were handled so far. */
    public long handled() {
        long sum = 0;
        for (Shard s : shards) {
            sum += s.handled();
        }
        return sum;
    }

    /** A number that differs, but for chance, where any part was told anything else or in another order. */
    public long trace() {
        long sum = 0;
        for (Actor p : parts) {
            sum += p.seen() * (2L * p.id() + 1);
        }
        return sum;
    }
}
