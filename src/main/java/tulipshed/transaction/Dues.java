package tulipshed.transaction;

import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Things to look at when their time has come, those of one time in the order asked for. */
final class Dues {
    private final PriorityQueue<Due> dues = new PriorityQueue<>();
    private double armedMs = Double.MAX_VALUE;
    private long count;

    private record Due(double atMs, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    void add(double atMs, Runnable what) {
        dues.add(new Due(atMs, count++, what));
    }

    /** Hands on all whose time has come, also those that come due while this goes on. */
    void run(double nowMs, Consumer<Runnable> how) {
        while (!dues.isEmpty() && dues.peek().atMs() <= nowMs) {
            how.accept(dues.poll().what());
        }
    }

    /** Asks the loop to wake when the next is due, unless it has been asked already. */
    void arm(double nowMs, Loop loop, Runnable wake) {
        if (dues.isEmpty() || armedMs > nowMs && armedMs <= dues.peek().atMs()) {
            return;
        }
        armedMs = dues.peek().atMs();
        loop.after(Math.max(0, armedMs - nowMs), wake);
    }
}
