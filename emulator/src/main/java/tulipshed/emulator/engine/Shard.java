package tulipshed.emulator.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The actors that one thread runs, and the messages due at them. Pending messages are in a timing wheel with a slot for
 * each of the next windows (Varghese and Lauck 1987), in an overflow heap beyond its span, and in a heap of their order for
 * the window that runs now.
 */
final class Shard {
    private static final int WHEEL_SLOTS = 4096; // of 0.25 to 1 ms each, so seconds

    private final int number;
    private final double windowMs;
    private final List<Message<?>>[] wheel;
    private final PriorityQueue<Message<?>> overflow = new PriorityQueue<>(1024);
    private final PriorityQueue<Message<?>> dueNow = new PriorityQueue<>(256);
    /** Messages for other shards, by the receiving shard. */
    private final List<Message<?>>[] outgoing;
    /** A bit for each slot of the wheel that holds a message. */
    private final long[] occupiedSlots = new long[WHEEL_SLOTS / Long.SIZE];
    /** A bit for each word of {@link #occupiedSlots} that is not 0. */
    private long occupiedWords;

    private long currentWindow = -1;
    private long handled;
    private double nowMs;

    @SuppressWarnings({"unchecked", "rawtypes"})
    Shard(int number, int shards, double windowMs) {
        this.number = number;
        this.windowMs = windowMs;
        wheel = new List[WHEEL_SLOTS];
        outgoing = new List[shards];
        for (int i = 0; i < WHEEL_SLOTS; i++) {
            wheel[i] = new ArrayList<>(0);
        }
        for (int i = 0; i < shards; i++) {
            outgoing[i] = new ArrayList<>();
        }
    }

    int number() {
        return number;
    }

    /** The number of messages delivered so far. */
    long handled() {
        return handled;
    }

    /** Takes a message from one of its actors to any other. */
    void send(Message<?> message) {
        if (currentWindow >= 0 && windowOf(message.deliveryMs) <= currentWindow) {
            throw new IllegalStateException("a message of " + nowMs + " ms arrives elsewhere at " + message.deliveryMs
                    + " ms, within one window of " + windowMs + " ms");
        }
        Shard receiving = message.receiver.shard();
        if (receiving == this) {
            enqueue(message);
        } else {
            outgoing[receiving.number].add(message);
        }
    }

    /** Takes a message from one of its actors to itself. */
    void schedule(Message<?> message) {
        if (message.deliveryMs < nowMs) {
            throw new IllegalStateException("a reminder for " + message.deliveryMs + " ms at " + nowMs + " ms");
        }
        enqueue(message);
    }

    private long windowOf(double timeMs) {
        return (long) (timeMs / windowMs);
    }

    private void enqueue(Message<?> message) {
        long window = windowOf(message.deliveryMs);
        if (window <= currentWindow) {
            dueNow.add(message);
        } else if (window < Math.max(0, currentWindow) + WHEEL_SLOTS) {
            addToSlot((int) (window % WHEEL_SLOTS), message);
        } else {
            overflow.add(message);
        }
    }

    /** Takes what other shards have sent; called while none of them runs. */
    void collect(Shard[] shards) {
        for (Shard shard : shards) {
            List<Message<?>> incoming = shard.outgoing[number];
            for (int i = 0; i < incoming.size(); i++) {
                enqueue(incoming.get(i));
            }
            incoming.clear();
        }
    }

    private void addToSlot(int slot, Message<?> message) {
        wheel[slot].add(message);
        occupiedSlots[slot >>> 6] |= 1L << slot;
        occupiedWords |= 1L << (slot >>> 6);
    }

    /** The first occupied slot from one on to the end of the wheel, or -1. */
    private int nextOccupiedSlot(int slot) {
        int word = slot >>> 6;
        long inWord = occupiedSlots[word] & -1L << slot;
        if (inWord != 0) {
            return (word << 6) + Long.numberOfTrailingZeros(inWord);
        }
        long laterWords = word == 63 ? 0 : occupiedWords & -1L << (word + 1);
        if (laterWords == 0) {
            return -1;
        }
        word = Long.numberOfTrailingZeros(laterWords);
        return (word << 6) + Long.numberOfTrailingZeros(occupiedSlots[word]);
    }

    /** The next window with a message, or {@link Long#MAX_VALUE} where there is none. */
    long nextWindow() {
        if (!dueNow.isEmpty()) {
            // Sent from outside of the run, between two windows: by sockets.
            return currentWindow;
        }
        long next = overflow.isEmpty() ? Long.MAX_VALUE : windowOf(overflow.peek().deliveryMs);
        if (occupiedWords != 0) {
            int start = (int) ((currentWindow + 1) % WHEEL_SLOTS);
            int slot = nextOccupiedSlot(start);
            slot = slot < 0 ? nextOccupiedSlot(0) : slot;
            next = Math.min(next, currentWindow + 1 + Math.floorMod(slot - start, WHEEL_SLOTS));
        }
        return next;
    }

    /** Delivers all messages of a window that is not before the last one. */
    void run(long window) {
        currentWindow = window;
        moveOverflowToWheel();
        moveSlotToDueNow((int) (window % WHEEL_SLOTS));
        Message<?> message;
        while ((message = dueNow.poll()) != null) {
            nowMs = message.deliveryMs;
            handled++;
            message.deliver();
        }
    }

    private void moveOverflowToWheel() {
        while (!overflow.isEmpty() && windowOf(overflow.peek().deliveryMs) < currentWindow + WHEEL_SLOTS) {
            Message<?> message = overflow.poll();
            long window = windowOf(message.deliveryMs);
            if (window <= currentWindow) {
                dueNow.add(message);
            } else {
                addToSlot((int) (window % WHEEL_SLOTS), message);
            }
        }
    }

    private void moveSlotToDueNow(int slot) {
        List<Message<?>> due = wheel[slot];
        if (due.isEmpty()) {
            return;
        }
        dueNow.addAll(due);
        due.clear();
        int word = slot >>> 6;
        occupiedSlots[word] &= ~(1L << slot);
        if (occupiedSlots[word] == 0) {
            occupiedWords &= ~(1L << word);
        }
    }
}
