package tulipshed.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * File shared by the two processes of a node, and the locks on its slots. The lock of slot {@code n} covers byte {@code
 * n} of the file. The kernel releases the lock of a process however the process ends, so the lock alone shows whether
 * the process is alive. In the same way, the lock on the byte {@code SLOT_COUNT + n} shows whether the endpoint-list area
 * of slot {@code n} was written by the process that holds the slot now, rather than by an earlier one.
 *
 * <p>The file is read and written at positions, and not mapped. With a mapping, access to a page that a full file
 * system cannot back, or that was truncated, terminates the process with SIGBUS; here it causes an {@link IOException},
 * and the node continues without the file. The cost is a few system calls for each published change ({@code
 * docs/system-calls.md}). Processes of versions that map the file see the same bytes, as both kinds of access use the
 * page cache.
 */
final class HotRestartFile implements HotRestartStorage {
    private static final int LOCK_ATTEMPTS = 20;
    private static final long LOCK_RETRY_MS = 25;
    private static final long LOCK_BYTES = 1;
    private static final int ZERO_BLOCK_BYTES = 8192;

    private final FileChannel channel;
    private final int slotBytes;
    private final FileLock ownLock;

    /** Lock of this process's endpoint-list area, null while the process publishes no list. */
    private FileLock ownListLock;

    private HotRestartFile(FileChannel channel, int slotBytes, FileLock ownLock) {
        this.channel = channel;
        this.slotBytes = slotBytes;
        this.ownLock = ownLock;
    }

    /**
     * Opens the file, creating it if it does not exist, and takes the lock of a free slot.
     *
     * @param mayWait whether the calling thread may block briefly while both slots seem to be taken
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
        // While this lock is held, no process can take the slot and have its content overwritten.
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

    @Override
    public boolean writeOwnList(int offset, ByteBuffer bytes) throws IOException {
        if (ownListLock == null) {
            ownListLock = tryLock(channel, listLockPosition(ownSlot()));
        }
        if (ownListLock == null) {
            return false;
        }
        writeFully(listAreaStart(ownSlot()) + offset, bytes);
        return true;
    }

    @Override
    public boolean readPeerList(int offset, ByteBuffer into) throws IOException {
        try (FileLock unpublished = tryLock(channel, listLockPosition(peerSlot()))) {
            if (unpublished != null) {
                return false;
            }
        }
        readFully(listAreaStart(peerSlot()) + offset, into);
        return true;
    }

    @Override
    public void discardOwnList() throws IOException {
        if (ownListLock != null) {
            ownListLock.release();
            ownListLock = null;
        }
        if (!isPeerAlive() && channel.size() > listAreaStart(0)) {
            channel.truncate(listAreaStart(0));
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

    private static int listLockPosition(int slot) {
        return HotRestartLayout.SLOT_COUNT + slot;
    }

    private long listAreaStart(int slot) {
        return (long) HotRestartLayout.SLOT_COUNT * slotBytes + (long) slot * HotRestartLayout.LIST_AREA_BYTES;
    }

    /** Reads the content of the file, and zeros beyond its end. */
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
        for (long position = start; position < end; position += ZERO_BLOCK_BYTES) {
            writeFully(position, ByteBuffer.allocate((int) Math.min(ZERO_BLOCK_BYTES, end - position)));
        }
    }

    /** Returns the lock of a free slot, or null if both are taken. */
    private static FileLock lockFreeSlot(FileChannel channel, int attempts) throws IOException {
        // The other process briefly holds the lock of a free slot while it checks whether its peer is alive.
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
            throw new IOException("interrupted while waiting for the lock of a hot-restart slot", e);
        }
    }

    /** Returns the lock on one byte of the file, or null if a process holds it. */
    private static FileLock tryLock(FileChannel channel, int position) throws IOException {
        try {
            return channel.tryLock(position, LOCK_BYTES, false);
        } catch (OverlappingFileLockException heldByThisProcess) {
            return null;
        }
    }
}
