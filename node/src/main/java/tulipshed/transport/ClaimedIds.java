package tulipshed.transport;

import java.lang.invoke.VarHandle;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The ids of open requests, of which the other process must not open another one. Each process writes the hashes of its
 * ids to its own slot. Confined to the event-loop thread.
 */
final class ClaimedIds {
    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    /** 0 marks a free entry, so an id never has that hash. */
    private static final long HASH_IN_PLACE_OF_ZERO = 1;

    private final OwnHotRestartSlot own;
    private final Map<String, Integer> entries = new HashMap<>();
    private final ArrayDeque<Integer> freeEntries = new ArrayDeque<>();

    /** Whether the other process has claimed an id. */
    interface PeerClaims {
        /** Whether the other process has claimed an id with this hash. */
        boolean contains(long hash);
    }

    /** No ids claimed; claims are written to {@code own}. */
    ClaimedIds(OwnHotRestartSlot own) {
        this.own = own;
    }

    /** Claims an id; false where the other process has claimed it. An id without a free entry is not shared. */
    boolean claim(String id, PeerClaims peer) {
        long hash = hash(id);
        publish(id, hash);
        // Each process writes its own claim before it reads the other's: of two at the same moment at least one is
        // seen.
        VarHandle.fullFence();
        if (peer.contains(hash)) {
            release(id);
            return false;
        }
        return true;
    }

    /** Releases an id; does nothing where it is not claimed. */
    void release(String id) {
        Integer entry = entries.remove(id);
        if (entry != null) {
            own.clearIdHash(entry);
            freeEntries.add(entry);
        }
    }

    private void publish(String id, long hash) {
        int used = own.idCount();
        if (freeEntries.isEmpty() && used == own.capacity()) {
            return;
        }
        int entry = freeEntries.isEmpty() ? used : freeEntries.poll();
        entries.put(id, entry);
        own.putIdHash(entry, hash);
        // The other process must not read an entry before its content.
        if (entry == used) {
            own.setIdCount(used + 1);
        }
    }

    /** 64-bit FNV-1a over the characters; part of the shared file's format. */
    private static long hash(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? HASH_IN_PLACE_OF_ZERO : hash;
    }
}
