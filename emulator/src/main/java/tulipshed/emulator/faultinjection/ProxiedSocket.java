package tulipshed.emulator.faultinjection;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import tulipshed.emulator.faultinjection.PendingDelivery.StreamEnd;

/**
 * One of the two sockets of a {@link ProxiedConnection}, and what waits to be written to it. Confined to the proxy's
 * thread.
 */
final class ProxiedSocket {
    private static final int MAX_QUEUED_BYTES = 256 * 1024;

    private final SocketChannel channel;
    private final SelectionKey key;
    private final ArrayDeque<PendingDelivery> queue = new ArrayDeque<>();
    private int queuedBytes;
    private long lastDueNs;
    private boolean isWriteBlocked;
    private boolean isReadFinished;

    /** Registers a socket that is established, or whose connection is being opened. */
    ProxiedSocket(SocketChannel channel, boolean connecting, Selector selector, ProxiedConnection owner)
            throws IOException {
        this.channel = channel;
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = channel.register(selector, connecting ? SelectionKey.OP_CONNECT : SelectionKey.OP_READ, owner);
    }

    /**
     * Completes the connection if it can be completed now.
     *
     * @throws IOException if it was refused
     */
    void finishConnect() throws IOException {
        if (key.isValid() && key.isConnectable() && channel.finishConnect()) {
            key.interestOps(SelectionKey.OP_READ);
        }
    }

    /** Notes that the socket accepts bytes again, where the selector says so. */
    void unblockIfWritable() {
        if (key.isValid() && key.isWritable()) {
            isWriteBlocked = false;
        }
    }

    /** Whether bytes, or the end of the stream, can be read now. */
    boolean isReadable() {
        return !isReadFinished && key.isValid() && key.isReadable();
    }

    /** Reads into an empty buffer and flips it; returns how the stream ended, if it did. */
    StreamEnd read(ByteBuffer buffer) {
        buffer.clear();
        StreamEnd end;
        try {
            end = channel.read(buffer) < 0 ? StreamEnd.FINISHED : StreamEnd.NONE;
        } catch (IOException e) {
            end = StreamEnd.RESET;
        }
        buffer.flip();
        if (end != StreamEnd.NONE) {
            isReadFinished = true;
        }
        return end;
    }

    /** Whether its peer sends nothing any more, and nothing waits to be written to it. */
    boolean isDone() {
        return isReadFinished && queue.isEmpty();
    }

    /** Whether bytes or an end can be written, as the connection is established. */
    boolean isConnected() {
        return channel.isConnected() || !key.isValid();
    }

    /** When something that is read now may be delivered: after the latency, and never before what was read earlier. */
    long earliestDueNs(long dueNs) {
        return Math.max(lastDueNs, dueNs);
    }

    /** Queues bytes or an end behind all that waits. */
    void enqueue(PendingDelivery delivery) {
        queue.add(delivery);
        lastDueNs = delivery.dueNs();
        queuedBytes += delivery.remainingBytes();
    }

    /** What is due at a moment and can be written, null where there is nothing. */
    PendingDelivery nextDue(long nowNs) {
        boolean isDue = !queue.isEmpty() && !isWriteBlocked && queue.peek().dueNs() <= nowNs;
        return isDue ? queue.peek() : null;
    }

    /** Removes the first that waits, which has been delivered. */
    void removeFirst() {
        queue.poll();
    }

    /** Writes bytes as far as the socket takes them; returns whether all were taken. */
    boolean write(PendingDelivery delivery) throws IOException {
        queuedBytes -= channel.write(delivery.bytes());
        isWriteBlocked = delivery.bytes().hasRemaining();
        return !isWriteBlocked;
    }

    /** Ends the stream towards the peer. */
    void shutdownOutput() throws IOException {
        channel.shutdownOutput();
    }

    /** Writes half of the first bytes that wait, as a connection that breaks within a line does. */
    void writeHalfOfFirst() throws IOException {
        if (!queue.isEmpty() && queue.peek().bytes() != null && channel.isConnected()) {
            ByteBuffer half = queue.peek().bytes();
            channel.write(half.limit(half.position() + half.remaining() / 2));
        }
    }

    /** Lets the next {@link #close} reset the connection. */
    void resetOnClose() throws IOException {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    }

    /** Waits for bytes unless too many wait at the other socket, null for none, and for room to write where needed. */
    void updateInterest(ProxiedSocket other) {
        if (key.isValid() && (key.interestOps() & SelectionKey.OP_CONNECT) == 0) {
            boolean reads = !isReadFinished && (other == null || other.queuedBytes < MAX_QUEUED_BYTES);
            key.interestOps((reads ? SelectionKey.OP_READ : 0) | (isWriteBlocked ? SelectionKey.OP_WRITE : 0));
        }
    }

    void close() {
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing is left to be closed.
        }
    }
}
