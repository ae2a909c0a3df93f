package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The file that the two processes of a node share, and the locks on its slots. The lock of slot {@code n} covers byte
 * {@code n} of the file. The kernel releases the lock of a process that ends, however it ends, so that the lock alone shows
 * whether the process is alive.
 *
 * <p>The file is read and written at positions and not mapped. An access to a mapped page that the full directory cannot
 * back, or that was cut off, ends the whole process with SIGBUS; here the same is an {@link IOException}, and the node
 * goes on without the file. Each published change takes a system call ({@code docs/system-calls.md}). Processes of versions that map the file see the same bytes, as both use the page cache.
 */
final class HotRestartFile implements HotRestartStorage {
    private static final int LOCK_ATTEMPTS = 20;
    private static final long LOCK_RETRY_MS = 25;
    private static final long LOCK_BYTES = 1;
    private static final int ZEROS_BYTES = 8192;

    private final FileChannel channel;
    private final int slotBytes;
    private final FileLock ownLock;

    private HotRestartFile(FileChannel channel, int slotBytes, FileLock ownLock) {
        this.channel = channel;
        this.slotBytes = slotBytes;
        this.ownLock = ownLock;
    }

    /**
     * Opens the file, which is created where it is missing, and takes the lock of a free slot.
     *
     * @param mayWait whether the calling thread may be blocked for a moment while both slots seem taken
     * @throws IllegalStateException if both slots are taken
     */
    static HotRestartFile open(Path path, int slotBytes, boolean mayWait) throws IOException {
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            FileLock lock = lockFreeSlot(channel, mayWait ? LOCK_ATTEMPTS : 1);
            if (lock == null) {
                throw new IllegalStateException("two processes of this node run already");
            }
            return new HotRestartFile(channel, slotBytes, lock);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    @Override
    public void writeOwn(int offset, ByteBuffer bytes) throws IOException {
        writeFully((long) ownSlot() * slotBytes + offset, bytes);
    }

    @Override
    public void allocatePeer() throws IOException {
        long end = (long) (peerSlot() + 1) * slotBytes;
        if (channel.size() >= end) {
            return;
        }
        // With the lock no process can take the slot meanwhile and lose what it writes.
        try (FileLock peerLock = tryLock(channel, peerSlot())) {
            if (peerLock != null) {
                writeZeros(channel.size(), end);
            }
        }
    }

    @Override
    public void readPeer(int offset, ByteBuffer into) throws IOException {
        readFully((long) peerSlot() * slotBytes + offset, into);
    }

    @Override
    public void readOwn(int offset, ByteBuffer into) throws IOException {
        readFully((long) ownSlot() * slotBytes + offset, into);
    }

    @Override
    public boolean isPeerAlive() throws IOException {
        try (FileLock peerLock = tryLock(channel, peerSlot())) {
            return peerLock == null;
        }
    }

    /** Releases the slot. */
    @Override
    public void close() throws IOException {
        channel.close();
    }

    private int ownSlot() {
        return (int) ownLock.position();
    }

    private int peerSlot() {
        return HotRestartLayout.SLOT_COUNT - 1 - ownSlot();
    }

    /** Reads what the file has, and zeros beyond its end. */
    private void readFully(long start, ByteBuffer into) throws IOException {
        long position = start;
        int count = 0;
        while (into.hasRemaining() && count >= 0) {
            count = channel.read(into, position);
            position += count;
        }
        while (into.hasRemaining()) {
            into.put((byte) 0);
        }
    }

    private void writeFully(long start, ByteBuffer bytes) throws IOException {
        long position = start;
        while (bytes.hasRemaining()) {
            position += channel.write(bytes, position);
        }
    }

    private void writeZeros(long start, long end) throws IOException {
        for (long position = start; position < end; position += ZEROS_BYTES) {
            writeFully(position, ByteBuffer.allocate((int) Math.min(ZEROS_BYTES, end - position)));
        }
    }

    /** The lock of a free slot, or null where both are taken. */
    private static FileLock lockFreeSlot(FileChannel channel, int attempts) throws IOException {
        // The other process holds the lock of a free slot for a moment while it checks whether its peer is alive.
        for (int attempt = 1; ; attempt++) {
            for (int slot = 0; slot < HotRestartLayout.SLOT_COUNT; slot++) {
                FileLock lock = tryLock(channel, slot);
                if (lock != null) {
                    return lock;
                }
            }
            if (attempt == attempts) {
                return null;
            }
            pauseBeforeRetry();
        }
    }

    private static void pauseBeforeRetry() throws IOException {
        try {
            Thread.sleep(LOCK_RETRY_MS);
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
    }

    /** The lock of a slot, or null where a process holds it. */
    private static FileLock tryLock(FileChannel channel, int slot) throws IOException {
        try {
            return channel.tryLock(slot, LOCK_BYTES, false);
        } catch (OverlappingFileLockException heldByThisProcess) {
            return null;
        }
    }
}
