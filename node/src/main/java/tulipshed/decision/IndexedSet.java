package tulipshed.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Items in no order; adding, removing and drawing one take the same time however many there are. */
final class IndexedSet<T extends IndexedSet.Member> {
    private final int id;
    private final List<T> list = new ArrayList<>();

    /** What can be in pools: it knows its place in each. */
    abstract static class Member {
        private int[] index = new int[0];
    }

    /** A pool with a number of its own, best a small one: each member keeps room for all numbers up to its highest. */
    IndexedSet(int id) {
        this.id = id;
    }

    boolean has(T item) {
        int[] index = place(item);
        return id < index.length && index[id] >= 0;
    }

    void add(T item) {
        if (!has(item)) {
            Member m = item;
            int had = m.index.length;
            if (id >= had) {
                m.index = Arrays.copyOf(m.index, id + 1);
                Arrays.fill(m.index, had, id + 1, -1);
            }
            m.index[id] = list.size();
            list.add(item);
        }
    }

    void remove(T item) {
        if (has(item)) {
            T last = list.remove(list.size() - 1);
            if (last != item) {
                list.set(place(item)[id], last);
                place(last)[id] = place(item)[id];
            }
            place(item)[id] = -1;
        }
    }

    int size() {
        return list.size();
    }

    boolean isEmpty() {
        return list.isEmpty();
    }

    T get(int i) {
        return list.get(i);
    }

    private static int[] place(Member item) {
        return item.index;
    }
}
