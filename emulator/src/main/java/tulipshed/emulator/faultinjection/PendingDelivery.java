package tulipshed.emulator.faultinjection;

import java.nio.ByteBuffer;

/**
 * Bytes that one read returned, or the end of the stream, waiting to be passed on.
 *
 * @param bytes the bytes; null for an end
 * @param end how the stream ended; {@link StreamEnd#NONE} for bytes
 * @param dueNs when it is due, on the clock of {@link System#nanoTime}
 */
record PendingDelivery(ByteBuffer bytes, StreamEnd end, long dueNs) {
    /** How a direction of a connection ended. */
    enum StreamEnd {
        /** It goes on. */
        NONE,
        /** The sender has finished (FIN). */
        FINISHED,
        /** The connection was reset (RST). */
        RESET
    }

    static PendingDelivery ofBytes(byte[] bytes, long dueNs) {
        return new PendingDelivery(ByteBuffer.wrap(bytes), StreamEnd.NONE, dueNs);
    }

    static PendingDelivery ofEnd(StreamEnd end, long dueNs) {
        return new PendingDelivery(null, end, dueNs);
    }

    /** The number of bytes that are left to be written. */
    int remainingBytes() {
        return bytes == null ? 0 : bytes.remaining();
    }
}
