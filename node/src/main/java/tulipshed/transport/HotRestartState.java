package tulipshed.transport;

import java.io.IOException;
import java.lang.invoke.VarHandle;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import tulipshed.proxy.HotRestartPeer;

/**
 * What the two processes of one node know of each other while one takes over from the other. Each has a slot of a small
 * file that both map, writes only its own, and holds a lock on it that ends with the process, however that ends.
 */
public final class HotRestartState implements HotRestartPeer {
    private static final int SLOTS = 2;
    private static final int STATE = 0;
    private static final int OPEN = 4;
    private static final int HIGHEST_ID = 8;
    private static final int HIGHEST_PLACE = 12;
    private static final int FIRST_ID = 16;
    private static final int PLACE_BYTES = 96;
    private static final int HINT = 8;
    private static final int MEMBER = 16;
    private static final int GROUP = 56;
    private static final int LONGEST_TEXT = 39;
    private static final int TRIES = 20;
    private static final long TRY_MS = 25;

    private final FileChannel file;
    private final MappedByteBuffer shared;
    private final FileLock lock;
    private final int ids;
    private final int own;
    private final int other;
    private final Map<String, Integer> places = new HashMap<>();
    private final ArrayDeque<Integer> releaseId = new ArrayDeque<>();
    private final ArrayDeque<Integer> freePlaces = new ArrayDeque<>();
    private boolean hasPeer;

    /** How far a process has come; none of these where there is no such process. */
    private enum State {
        NONE,
        STARTING,
        SERVING,
        LEAVING
    }

    /** A process that has no other beside it. */
    public HotRestartState() {
        file = null;
        shared = null;
        lock = null;
        ids = own = other = 0;
    }

    /** Joins whoever uses that file; it is made where it is missing. */
    public HotRestartState(Path path, int ids) throws IOException {
        this.ids = ids;
        int slotBytes = FIRST_ID + ids * (Long.BYTES + PLACE_BYTES);
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        shared = file.map(FileChannel.MapMode.READ_WRITE, 0, (long) SLOTS * slotBytes);
        lock = takeSlot();
        if (lock == null) {
            file.close();
            throw new IllegalStateException("two processes of this node run already");
        }
        int slot = (int) lock.position();
        own = slot * slotBytes;
        other = (SLOTS - 1 - slot) * slotBytes;
        state(State.NONE);
        shared.putInt(own + OPEN, 0).putInt(own + HIGHEST_ID, 0).putInt(own + HIGHEST_PLACE, 0);
        state(State.STARTING);
        refresh();
    }

    private FileLock takeSlot() throws IOException {
        // The other process may be looking at that very moment whether this one lives.
        for (int i = 0; i < TRIES; i++) {
            for (int slot = 0; slot < SLOTS; slot++) {
                FileLock taken = tryLock(slot);
                if (taken != null) {
                    return taken;
                }
            }
            try {
                Thread.sleep(TRY_MS);
            } catch (InterruptedException e) {
                throw new IOException("interrupted", e);
            }
        }
        return null;
    }

    /** The lock of a slot, or null where a process holds it. */
    private FileLock tryLock(int slot) throws IOException {
        try {
            return file.tryLock(slot, 1, false);
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    /** Looks whether the other process lives; its files say nothing of that. */
    public void refresh() {
        if (file == null) {
            return;
        }
        try (FileLock its = tryLock(SLOTS - 1 - (int) lock.position())) {
            hasPeer = its == null;
        } catch (IOException e) {
            hasPeer = false;
        }
    }

    /** Whether there is another process of this node. */
    public boolean hasPeer() {
        return hasPeer;
    }

    /** Whether it takes clients, and is not about to go. */
    public boolean isPeerServing() {
        return hasPeer && otherState() == State.SERVING;
    }

    private State otherState() {
        return State.values()[shared.getInt(other + STATE)];
    }

    /** This process takes clients from now on. */
    public void markServing() {
        state(State.SERVING);
    }

    /** This process is about to go. */
    public void markLeaving() {
        state(State.LEAVING);
    }

    private void state(State state) {
        if (shared != null) {
            shared.putInt(own + STATE, state.ordinal());
        }
    }

    /** What this process may use of all that the node is allowed: half where both take clients, nothing once it leaves. */
    public double quotaShare() {
        if (!isPeerServing()) {
            return 1;
        }
        return State.values()[shared.getInt(own + STATE)] == State.LEAVING ? 0 : 0.5;
    }

    /** Connections open in this process. */
    void publishOpenConnections(int connections) {
        if (shared != null) {
            shared.putInt(own + OPEN, connections);
        }
    }

    /** Connections open in the other process. */
    int peerOpenConnections() {
        return hasPeer ? shared.getInt(other + OPEN) : 0;
    }

    /** Takes an id of an open transaction; false where the other process has it open. */
    public boolean claimId(String id) {
        if (shared == null) {
            return true;
        }
        long hash = hash(id);
        int highest = shared.getInt(own + HIGHEST_ID);
        if (releaseId.isEmpty() && highest < ids) {
            releaseId.add(highest);
            shared.putInt(own + HIGHEST_ID, highest + 1);
        }
        if (!releaseId.isEmpty()) {
            places.put(id, releaseId.peek());
            shared.putLong(own + FIRST_ID + releaseId.poll() * Long.BYTES, hash);
        }
        // Written before the other's are read, as the other does: of two at the same moment at least one is seen.
        VarHandle.fullFence();
        if (hasPeer && otherHas(hash)) {
            releaseId(id);
            return false;
        }
        return true;
    }

    private boolean otherHas(long hash) {
        int highest = Math.min(ids, shared.getInt(other + HIGHEST_ID));
        for (int i = 0; i < highest; i++) {
            if (shared.getLong(other + FIRST_ID + i * Long.BYTES) == hash) {
                return true;
            }
        }
        return false;
    }

    /** The transaction with this id has ended. */
    public void releaseId(String id) {
        Integer place = places.remove(id);
        if (place != null) {
            shared.putLong(own + FIRST_ID + place * Long.BYTES, 0);
            releaseId.add(place);
        }
    }

    @Override
    public int connectionEstablished(EstablishedConnection standing) {
        byte[] member = standing.endpointId().getBytes(StandardCharsets.UTF_8);
        byte[] group = standing.group() == null ? new byte[0] : standing.group().getBytes(StandardCharsets.UTF_8);
        if (shared == null || member.length > LONGEST_TEXT || group.length > LONGEST_TEXT) {
            return -1;
        }
        int highest = shared.getInt(own + HIGHEST_PLACE);
        if (freePlaces.isEmpty() && highest == ids) {
            return -1;
        }
        int place = freePlaces.isEmpty() ? highest : freePlaces.poll();
        int at = at(own, place);
        shared.putDouble(at + HINT, standing.loadHintUsPerS());
        shared.put(at + MEMBER, (byte) member.length).put(at + MEMBER + 1, member);
        shared.put(at + GROUP, (byte) group.length).put(at + GROUP + 1, group);
        VarHandle.fullFence();
        shared.putLong(at, 1);
        shared.putInt(own + HIGHEST_PLACE, Math.max(highest, place + 1));
        return place;
    }

    @Override
    public void connectionEnded(int place) {
        shared.putLong(at(own, place), 0);
        freePlaces.add(place);
    }

    /** One that is being written at this moment may be read wrongly; the next reading puts it right. */
    @Override
    public Map<Integer, EstablishedConnection> peerConnections() {
        Map<Integer, EstablishedConnection> standing = new HashMap<>();
        int highest = hasPeer ? Math.min(ids, shared.getInt(other + HIGHEST_PLACE)) : 0;
        for (int place = 0; place < highest; place++) {
            int at = at(other, place);
            if (shared.getLong(at) != 0) {
                String group = text(at + GROUP);
                standing.put(
                        place,
                        new EstablishedConnection(
                                text(at + MEMBER), group.isEmpty() ? null : group, shared.getDouble(at + HINT)));
            }
        }
        return standing;
    }

    private int at(int slot, int place) {
        return slot + FIRST_ID + ids * Long.BYTES + place * PLACE_BYTES;
    }

    private String text(int at) {
        byte[] bytes = new byte[Math.max(0, Math.min(LONGEST_TEXT, shared.get(at)))];
        shared.get(at + 1, bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static long hash(String id) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001B3L;
        }
        return hash == 0 ? 1 : hash;
    }

    /** Gives the slot back. */
    public void close() throws IOException {
        if (file != null) {
            state(State.NONE);
            file.close();
        }
    }
}
