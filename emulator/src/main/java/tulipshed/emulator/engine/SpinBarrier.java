package tulipshed.emulator.engine;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * A barrier that threads pass together, any number of times. They spin before they yield: they meet some 2,000 times in a
 * virtual second, and to sleep would cost more than the work between.
 */
final class SpinBarrier {
    private static final int SPINS = 2000;

    private final int threads;
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile int round;
    private volatile boolean broken;

    SpinBarrier(int threads) {
        this.threads = threads;
    }

    /**
     * Waits until all threads have called this.
     *
     * @throws IllegalStateException if the barrier is broken meanwhile
     */
    @SuppressWarnings("ThreadPriorityCheck") // a spinning thread gives its core up where there are too few
    void await() {
        int mine = round;
        if (waiting.incrementAndGet() == threads) {
            waiting.set(0);
            round = mine + 1;
            return;
        }
        int spins = 0;
        while (round == mine) {
            if (broken) {
                throw new IllegalStateException("another thread has stopped");
            }
            if (++spins < SPINS) {
                Thread.onSpinWait();
            } else {
                // There may be fewer cores than threads.
                Thread.yield();
            }
        }
    }

    /** Lets all threads that wait, now or later, fail. */
    void breakUp() {
        broken = true;
    }
}
