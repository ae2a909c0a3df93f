package tulipshed.emulator.engine;

import java.util.concurrent.atomic.AtomicInteger;

/** Where threads wait for each other some 2,000 times for each virtual second; sleeping would cost more than the work. */
final class SpinBarrier {
    private static final int SPINS = 2000;

    private final int threads;
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile int round;
    private volatile boolean broken;

    SpinBarrier(int threads) {
        this.threads = threads;
    }

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

    void breakUp() {
        broken = true;
    }
}
