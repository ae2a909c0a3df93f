package tulipshed.proxy;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Things to look at when their time has come, those of one time in the order asked for. */
final class TimerQueue {
    private static final int WORTH_CLEARING = 1024;
    private final PriorityQueue<Timer> dues = new PriorityQueue<>();
    private double armedMs = Double.MAX_VALUE;
    private long count;
    private int dropped;

    /**
     * One thing to look at. Whoever needs it no more drops it: most waits end early, and what they hold, a whole transaction,
     * would stay until their time has come, at a high rate many times what is open.
     */
    final class Timer implements Comparable<Timer> {
        private final double atMs;
        private final long order;
        private Runnable what;

        private Timer(double atMs, long order, Runnable what) {
            this.atMs = atMs;
            this.order = order;
            this.what = what;
        }

        /** It need not be looked at any more. */
        void cancel() {
            if (what != null) {
                what = null;
                dropped++;
                if (dropped > WORTH_CLEARING && dropped > dues.size() / 2) {
                    dues.removeIf(d -> d.what == null);
                    dropped = 0;
                }
            }
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    Timer add(double atMs, Runnable what) {
        Timer due = new Timer(atMs, count++, what);
        dues.add(due);
        return due;
    }

    /** Hands on all whose time has come, also those that come due while this goes on. */
    void run(double nowMs, Consumer<Runnable> how) {
        while (!dues.isEmpty() && dues.peek().atMs <= nowMs) {
            Timer due = dues.poll();
            if (due.what == null) {
                dropped--;
            } else {
                Runnable what = due.what;
                due.what = null;
                how.accept(what);
            }
        }
    }

    /** Asks the loop to wake when the next is due, unless it has been asked already. */
    void arm(double nowMs, EventLoop loop, Runnable wake) {
        while (!dues.isEmpty() && dues.peek().what == null) {
            dues.poll();
            dropped--;
        }
        if (dues.isEmpty() || (armedMs > nowMs && armedMs <= dues.peek().atMs)) {
            return;
        }
        armedMs = dues.peek().atMs;
        loop.schedule(Math.max(0, armedMs - nowMs), wake);
    }

    /** How many are kept, with those dropped and not cleared yet. */
    int size() {
        return dues.size();
    }
}
