package tulipshed.lineprotocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * A bounded buffer for the bytes that a client sends between its open command and the response, which are forwarded to the
 * endpoint that serves the request. Confined to the event-loop thread.
 */
final class EarlyData {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final int maxBytes;

    /** Creates a buffer of at most {@code maxBytes}. */
    EarlyData(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Appends all remaining bytes of {@code in}; consumes none and returns false if they exceed the limit. */
    boolean append(ByteBuffer in) {
        if (bytes.size() + in.remaining() > maxBytes) {
            return false;
        }
        byte[] appended = new byte[in.remaining()];
        in.get(appended);
        bytes.writeBytes(appended);
        return true;
    }

    /** Whether the buffer is empty. */
    boolean isEmpty() {
        return bytes.size() == 0;
    }

    /** The buffered bytes, in the order of arrival. */
    byte[] toByteArray() {
        return bytes.toByteArray();
    }

    /** Discards the buffered bytes. */
    void clear() {
        bytes.reset();
    }
}
