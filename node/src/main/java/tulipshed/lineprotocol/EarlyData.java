package tulipshed.lineprotocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** What a client sends between its open command and the response, kept for the endpoint. Bounded; confined to the event-loop thread. */
final class EarlyData {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final int maxBytes;

    /** Keeps {@code maxBytes} at most. */
    EarlyData(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Keeps all that the buffer holds; false, and nothing taken, if that would be more than allowed. */
    boolean append(ByteBuffer in) {
        if (bytes.size() + in.remaining() > maxBytes) {
            return false;
        }
        byte[] appended = new byte[in.remaining()];
        in.get(appended);
        bytes.writeBytes(appended);
        return true;
    }

    /** Whether nothing is kept. */
    boolean isEmpty() {
        return bytes.size() == 0;
    }

    /** All that was kept, in order. */
    byte[] toByteArray() {
        return bytes.toByteArray();
    }

    /** Forgets all that was kept. */
    void clear() {
        bytes.reset();
    }
}
