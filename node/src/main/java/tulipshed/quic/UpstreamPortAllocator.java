package tulipshed.quic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Which of the node's sockets towards members a flow uses. A socket serves one flow of each member, so that what comes back on
 * it is known by the member's address alone, as in a translator of addresses, and every flow has a port of its own at its
 * member. So many sockets are needed as flows stand at the fullest member. Without I/O; times in milliseconds.
 */
final class UpstreamPortAllocator {
    /** What is left of a member besides what is used there: flows that come and go quickly must not take ever more sockets. */
    private static final int MOST_LEFT = 64;

    /** A slot that a flow has left. */
    private record Left(int slot, double atMs) {}

    /** What one member has of the slots. */
    private static final class Member {
        /** In use, or left but a short while ago. */
        private final BitSet known = new BitSet();

        private final ArrayDeque<Left> left = new ArrayDeque<>();
        private int used;
    }

    private final double quietMs;
    private final Map<Object, Member> members = new HashMap<>();
    private final BitSet open = new BitSet();
    private int[] users = new int[16];
    private double[] leftMs = new double[16];

    /** What is left is not used again for so long: its member may still be sending to who was there. */
    UpstreamPortAllocator(double quietMs) {
        this.quietMs = quietMs;
    }

    /**
     * A slot for one more flow to that member, or -1. A new one is only taken where {@code room} allows another socket; where
     * it does not, one that was left a short while ago will do.
     */
    int take(Object member, double nowMs, BooleanSupplier room) {
        Member m = members.computeIfAbsent(member, k -> new Member());
        int slot = slot(m, nowMs, room);
        if (slot < 0) {
            drop(member, m);
            return -1;
        }
        m.known.set(slot);
        m.used++;
        open.set(slot);
        if (slot >= users.length) {
            users = java.util.Arrays.copyOf(users, 2 * slot);
            leftMs = java.util.Arrays.copyOf(leftMs, 2 * slot);
        }
        users[slot]++;
        return slot;
    }

    private int slot(Member m, double nowMs, BooleanSupplier room) {
        if (!m.left.isEmpty() && (nowMs - m.left.peek().atMs >= quietMs || m.left.size() > m.used + MOST_LEFT)) {
            return m.left.poll().slot;
        }
        for (int slot = open.nextSetBit(0); slot >= 0; slot = open.nextSetBit(slot + 1)) {
            if (!m.known.get(slot)) {
                return slot;
            }
        }
        if (room.getAsBoolean()) {
            return open.nextClearBit(0);
        }
        return m.left.isEmpty() ? -1 : m.left.poll().slot;
    }

    /** A flow to that member leaves its slot. */
    void leave(Object member, int slot, double nowMs) {
        Member m = members.get(member);
        m.left.add(new Left(slot, nowMs));
        m.used--;
        users[slot]--;
        leftMs[slot] = nowMs;
    }

    /** Slots that nobody uses or has used for a while, all but the first; their sockets are to be closed. */
    List<Integer> close(double nowMs) {
        List<Integer> closed = new ArrayList<>();
        for (int slot = open.nextSetBit(1); slot >= 0; slot = open.nextSetBit(slot + 1)) {
            if (users[slot] == 0 && nowMs - leftMs[slot] >= quietMs) {
                closed.add(slot);
            }
        }
        for (int slot : closed) {
            open.clear(slot);
        }
        members.entrySet().removeIf(e -> {
            Member m = e.getValue();
            m.left.removeIf(l -> {
                boolean gone = !open.get(l.slot);
                if (gone) {
                    m.known.clear(l.slot);
                }
                return gone;
            });
            return m.used == 0 && (m.left.isEmpty() || nowMs - m.left.peekLast().atMs >= quietMs);
        });
        return closed;
    }

    private void drop(Object member, Member m) {
        if (m.used == 0 && m.left.isEmpty()) {
            members.remove(member);
        }
    }

    /** Sockets in use or kept. */
    int sockets() {
        return open.cardinality();
    }

    /** Members of which something is kept. */
    int members() {
        return members.size();
    }
}
