package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import org.xnio.IoUtils;

/**
 * File descriptors held open for a descriptor shortage of the process or the machine. One is released so that a waiting
 * connection can be accepted and receive a response. Confined to the event-loop thread.
 */
final class DescriptorReserve implements Closeable {
    private final Opener opener;
    private final int size;
    private final ArrayDeque<Closeable> held = new ArrayDeque<>();

    /** Opens a resource that holds one descriptor. */
    interface Opener {
        /** Opens the resource. */
        Closeable open() throws IOException;
    }

    /** Creates an empty reserve for {@code size} descriptors, which {@link #refill} opens on the null device. */
    DescriptorReserve(int size) {
        this(size, () -> FileChannel.open(Path.of("/dev/null"), StandardOpenOption.READ));
    }

    /** Creates an empty reserve for {@code size} descriptors, which {@link #refill} opens with {@code opener}. */
    DescriptorReserve(int size, Opener opener) {
        this.size = size;
        this.opener = opener;
    }

    /** Closes one descriptor; returns false if the reserve is empty. */
    boolean release() {
        Closeable released = held.poll();
        IoUtils.safeClose(released);
        return released != null;
    }

    /** Opens the missing descriptors; returns false if one cannot be opened now. */
    boolean refill() {
        while (held.size() < size) {
            try {
                held.add(opener.open());
            } catch (IOException noDescriptorAvailable) {
                return false;
            }
        }
        return true;
    }

    /** Closes all descriptors. */
    @Override
    public void close() {
        held.forEach(IoUtils::safeClose);
        held.clear();
    }
}
