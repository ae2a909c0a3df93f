package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import org.xnio.IoUtils;

/**
 * Descriptors that are held open for the moment when the process or the machine has none left: one of them is given up so
 * that a connection can be accepted, and answered, that would otherwise rest in the kernel. Confined to the event-loop
 * thread.
 */
final class DescriptorReserve implements Closeable {
    private final Opener opener;
    private final int size;
    private final ArrayDeque<Closeable> held = new ArrayDeque<>();

    /** Opens something that holds one descriptor. */
    interface Opener {
        /** Opens it. */
        Closeable open() throws IOException;
    }

    /** An empty reserve that {@link #refill} fills with descriptors of the null device. */
    DescriptorReserve(int size) {
        this(size, () -> FileChannel.open(Path.of("/dev/null"), StandardOpenOption.READ));
    }

    /** An empty reserve that {@link #refill} fills. */
    DescriptorReserve(int size, Opener opener) {
        this.size = size;
        this.opener = opener;
    }

    /** Gives up one descriptor; false where none is left. */
    boolean release() {
        Closeable given = held.poll();
        IoUtils.safeClose(given);
        return given != null;
    }

    /** Opens what was given up; false where that is not possible now. */
    boolean refill() {
        while (held.size() < size) {
            try {
                held.add(opener.open());
            } catch (IOException stillNone) {
                return false;
            }
        }
        return true;
    }

    /** Gives up all. */
    @Override
    public void close() {
        held.forEach(IoUtils::safeClose);
        held.clear();
    }
}
