package tulipshed.transport;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The file that the two processes of a node map, and the locks on its slots. The lock of slot {@code n} covers byte
 * {@code n} of the file. A process holds the lock of its slot as long as it lives, however it ends: that lock, and nothing
 * in the file, shows that the process is alive.
 */
final class HotRestartFile implements Closeable {
    private static final int LOCK_ATTEMPTS = 20;
    private static final long LOCK_RETRY_MS = 25;
    private static final long LOCK_BYTES = 1;

    private final FileChannel channel;
    private final ByteBuffer bytes;
    private final FileLock ownLock;

    /**
     * Maps the file, which is created where it is missing, and takes the lock of a free slot.
     *
     * @throws IllegalStateException if both slots are taken
     */
    HotRestartFile(Path path, int slotBytes) throws IOException {
        channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        bytes = channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) HotRestartSlot.SLOT_COUNT * slotBytes);
        ownLock = lockFreeSlot();
        if (ownLock == null) {
            channel.close();
            throw new IllegalStateException("two processes of this node run already");
        }
    }

    /** The bytes of the file, shared with the other process. */
    ByteBuffer bytes() {
        return bytes;
    }

    /** The index of this process's slot. */
    int ownSlot() {
        return (int) ownLock.position();
    }

    /** The index of the other process's slot. */
    int peerSlot() {
        return HotRestartSlot.SLOT_COUNT - 1 - ownSlot();
    }

    /** Whether a process holds the other slot; false where the file cannot be locked at all. */
    boolean isPeerAlive() {
        try (FileLock peerLock = tryLock(peerSlot())) {
            return peerLock == null;
        } catch (IOException e) {
            return false;
        }
    }

    /** Releases the slot. */
    @Override
    public void close() throws IOException {
        channel.close();
    }

    /** The lock of a free slot, or null where both are taken. */
    private FileLock lockFreeSlot() throws IOException {
        // The other process holds the lock of a free slot for a moment while it checks whether its peer is alive.
        for (int attempt = 0; attempt < LOCK_ATTEMPTS; attempt++) {
            for (int slot = 0; slot < HotRestartSlot.SLOT_COUNT; slot++) {
                FileLock lock = tryLock(slot);
                if (lock != null) {
                    return lock;
                }
            }
            pauseBeforeRetry();
        }
        return null;
    }

    private static void pauseBeforeRetry() throws IOException {
        try {
            Thread.sleep(LOCK_RETRY_MS);
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
    }

    /** The lock of a slot, or null where a process holds it. */
    private FileLock tryLock(int slot) throws IOException {
        try {
            return channel.tryLock(slot, LOCK_BYTES, false);
        } catch (OverlappingFileLockException heldByThisProcess) {
            return null;
        }
    }
}
