package tulipshed.transport;

import java.lang.invoke.VarHandle;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * IDs of the open requests of this process; the other process of a hot restart must not open a request with the same
 * ID. Each process writes the hashes of its IDs to its own slot. Confined to the event-loop thread.
 */
final class ClaimedIds {
    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    /** Replaces a hash of 0, which marks a free entry. */
    private static final long ZERO_HASH_SUBSTITUTE = 1;

    private final OwnHotRestartSlot own;
    private final Map<String, Integer> entries = new HashMap<>();
    private final ArrayDeque<Integer> freeEntries = new ArrayDeque<>();

    /** Lookup of the IDs claimed by the other process. */
    interface PeerClaims {
        /** Whether the other process has claimed an ID with this hash. */
        boolean contains(long hash);
    }

    /** Creates an empty set; claims are written to {@code own}. */
    ClaimedIds(OwnHotRestartSlot own) {
        this.own = own;
    }

    /**
     * Claims an ID; returns false if the other process has claimed it. An ID for which no entry is free is not
     * published.
     */
    boolean claim(String id, PeerClaims peer) {
        long hash = hash(id);
        publish(id, hash);
        // Each process writes its own claim before it reads the other's claims. So if both claim an ID at the same
        // time, at least one of them sees the other's claim.
        VarHandle.fullFence();
        if (peer.contains(hash)) {
            release(id);
            return false;
        }
        return true;
    }

    /** Releases an ID; does nothing if it is not claimed. */
    void release(String id) {
        Integer entry = entries.remove(id);
        if (entry != null) {
            own.clearIdHash(entry);
            freeEntries.add(entry);
        }
    }

    private void publish(String id, long hash) {
        int usedEntries = own.idCount();
        if (freeEntries.isEmpty() && usedEntries == own.capacity()) {
            return;
        }
        int entry = freeEntries.isEmpty() ? usedEntries : freeEntries.poll();
        entries.put(id, entry);
        own.putIdHash(entry, hash);
        // The other process must not read an entry before its content is written.
        if (entry == usedEntries) {
            own.setIdCount(usedEntries + 1);
        }
    }

    /** Returns the 64-bit FNV-1a hash of the characters; part of the format of the shared file. */
    private static long hash(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? ZERO_HASH_SUBSTITUTE : hash;
    }
}
