package tulipshed.quic;

import java.util.ArrayDeque;

/**
 * A bounded queue of datagrams with unknown connection IDs, which are processed after those of known connections. Opening an
 * Initial packet takes about ten times as long as forwarding a datagram, so that a flood of them would otherwise take most of
 * the time. A datagram that does not fit is dropped before it costs anything. Without I/O.
 */
final class UnknownDatagramQueue {
    private final int capacity;
    private final ArrayDeque<UnknownDatagram> queue = new ArrayDeque<>();

    /** An empty queue for at most {@code capacity} datagrams. */
    UnknownDatagramQueue(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a datagram; false where the queue is full. */
    boolean offer(UnknownDatagram datagram) {
        return queue.size() < capacity && queue.add(datagram);
    }

    /** Removes the oldest datagram; null where the queue is empty. */
    UnknownDatagram poll() {
        return queue.poll();
    }

    /** Whether no datagram waits. */
    boolean isEmpty() {
        return queue.isEmpty();
    }
}
