package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import tulipshed.transport.TcpConnection;

/** The read loop of all connections of this package: reads into a shared buffer up to the receiver's capacity. */
final class StreamReader {
    /** Receives the input of one connection. */
    interface Receiver {
        /** Whether to continue reading; checked before each read. */
        boolean isReading();

        /**
         * The number of bytes that can be accepted now, unlimited by default; at 0 or less, reading is suspended until the
         * receiver resumes it.
         */
        default int capacityBytes() {
            return Integer.MAX_VALUE;
        }

        /** Processes bytes that were read; the buffer is reused after the call. */
        void onBytes(ByteBuffer bytes);

        /** Handles the end of the remote side's output; nothing is read after that. */
        void onEndOfStream();
    }

    private StreamReader() {}

    /**
     * Reads until the connection has no input available, the receiver stops reading, or {@code maxReads} reads are done. A
     * failure of the connection is reported to the connection's own listener.
     *
     * @return whether reading stopped only because of {@code maxReads}, so that more input may be available
     */
    static boolean read(TcpConnection connection, ByteBuffer buffer, int maxReads, Receiver receiver) {
        for (int reads = 0; reads < maxReads && receiver.isReading(); reads++) {
            int capacityBytes = receiver.capacityBytes();
            if (capacityBytes <= 0) {
                connection.setReading(false);
                return false;
            }
            buffer.clear().limit(Math.min(capacityBytes, buffer.capacity()));
            int readBytes = connection.read(buffer);
            if (readBytes < 0) {
                receiver.onEndOfStream();
            }
            if (readBytes <= 0) {
                return false;
            }
            receiver.onBytes(buffer.flip());
        }
        return receiver.isReading();
    }
}
