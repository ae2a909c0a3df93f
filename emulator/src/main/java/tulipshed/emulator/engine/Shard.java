package tulipshed.emulator.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The parts that one thread runs, and what is due at them: a wheel of windows for what comes soon, a heap for the rest,
 * and a heap of the window that runs now.
 */
final class Shard {
    private static final int WHEEL = 4096; // windows; of 0.25 to 1 ms, so seconds

    private final int number;
    private final double windowMs;
    private final List<Message>[] wheel;
    private final PriorityQueue<Message> later = new PriorityQueue<>(1024);
    private final PriorityQueue<Message> now = new PriorityQueue<>(256);
    private final List<Message>[] outgoing;
    /** A bit for each place of the wheel that holds anything, and one for each 64 of those. */
    private final long[] taken = new long[WHEEL / 64];

    private long takenWords;
    private long window = -1;
    private long handled;
    private double nowMs;

    @SuppressWarnings({"unchecked", "rawtypes"})
    Shard(int number, int shards, double windowMs) {
        this.number = number;
        this.windowMs = windowMs;
        wheel = new List[WHEEL];
        outgoing = new List[shards];
        for (int i = 0; i < WHEEL; i++) {
            wheel[i] = new ArrayList<>(0);
        }
        for (int i = 0; i < shards; i++) {
            outgoing[i] = new ArrayList<>();
        }
    }

    int number() {
        return number;
    }

    long handled() {
        return handled;
    }

    void send(Message m) {
        if (window >= 0 && windowOf(m.atMs) <= window) {
            throw new IllegalStateException("a message of " + nowMs + " ms arrives elsewhere at " + m.atMs
                    + " ms, within one window of " + windowMs + " ms");
        }
        Shard to = m.to.shard();
        if (to == this) {
            keep(m);
        } else {
            outgoing[to.number].add(m);
        }
    }

    void remind(Message m) {
        if (m.atMs < nowMs) {
            throw new IllegalStateException("a reminder for " + m.atMs + " ms at " + nowMs + " ms");
        }
        keep(m);
    }

    private long windowOf(double atMs) {
        return (long) (atMs / windowMs);
    }

    private void keep(Message m) {
        long w = windowOf(m.atMs);
        if (w <= window) {
            now.add(m);
        } else if (w < Math.max(0, window) + WHEEL) {
            put((int) (w % WHEEL), m);
        } else {
            later.add(m);
        }
    }

    /** Takes what the others have sent; called while none of them runs. */
    void collect(Shard[] shards) {
        for (Shard s : shards) {
            List<Message> mine = s.outgoing[number];
            for (int i = 0; i < mine.size(); i++) {
                keep(mine.get(i));
            }
            mine.clear();
        }
    }

    private void put(int place, Message m) {
        wheel[place].add(m);
        taken[place >>> 6] |= 1L << place;
        takenWords |= 1L << (place >>> 6);
    }

    /** The first place from one on that holds anything, or below 0. */
    private int from(int place) {
        int word = place >>> 6;
        long here = taken[word] & -1L << place;
        if (here != 0) {
            return (word << 6) + Long.numberOfTrailingZeros(here);
        }
        long after = word == 63 ? 0 : takenWords & -1L << (word + 1);
        if (after == 0) {
            return -1;
        }
        word = Long.numberOfTrailingZeros(after);
        return (word << 6) + Long.numberOfTrailingZeros(taken[word]);
    }

    /** The next window in which something is due, or the largest number where nothing is. */
    long next() {
        if (!now.isEmpty()) {
            // From outside of the run: sockets, between two windows.
            return window;
        }
        long first = later.isEmpty() ? Long.MAX_VALUE : windowOf(later.peek().atMs);
        if (takenWords != 0) {
            int start = (int) ((window + 1) % WHEEL);
            int place = from(start);
            place = place < 0 ? from(0) : place;
            first = Math.min(first, window + 1 + Math.floorMod(place - start, WHEEL));
        }
        return first;
    }

    /** Runs all that is due in a window that is not before the last one. */
    void run(long w) {
        window = w;
        while (!later.isEmpty() && windowOf(later.peek().atMs) < w + WHEEL) {
            Message m = later.poll();
            if (windowOf(m.atMs) <= w) {
                now.add(m);
            } else {
                put((int) (windowOf(m.atMs) % WHEEL), m);
            }
        }
        List<Message> due = wheel[(int) (w % WHEEL)];
        if (!due.isEmpty()) {
            int place = (int) (w % WHEEL);
            now.addAll(due);
            due.clear();
            taken[place >>> 6] &= ~(1L << place);
            if (taken[place >>> 6] == 0) {
                takenWords &= ~(1L << (place >>> 6));
            }
        }
        Message m;
        while ((m = now.poll()) != null) {
            nowMs = m.atMs;
            handled++;
            m.to.handle(m);
        }
    }
}
