package tulipshed.lineprotocol;

import java.nio.ByteBuffer;
import tulipshed.transport.TcpConnection;

/** The read loop of all connections of this package: reads into a shared buffer as much as the receiver takes. */
final class StreamReader {
    /** For relays, which are bounded by the capacity of the other side instead. */
    static final int UNLIMITED_READS = Integer.MAX_VALUE;

    /** Takes what is read from one connection. */
    interface Receiver {
        /** Whether to read on; checked before each read. */
        boolean isReading();

        /**
         * How many bytes can be taken now, by default any number; where not above 0, reading is suspended until the receiver
         * resumes it.
         */
        default int capacityBytes() {
            return Integer.MAX_VALUE;
        }

        /** Takes bytes that were read; the buffer is reused after the call. */
        void onBytes(ByteBuffer bytes);

        /** The other end has ended its sending; nothing is read after that. */
        void onEndOfStream();
    }

    private StreamReader() {}

    /**
     * Reads until the connection has nothing more now, the receiver wants no more, or {@code maxReads} reads are done. A
     * break of the connection is notified to the connection's own listener.
     *
     * @return whether it ended for the number of reads alone, so that there may be more to read
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
