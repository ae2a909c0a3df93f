package tulipshed.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A set of items in no particular order, in which adding, removing and indexed access take constant time. Confined to
 * the event-loop thread.
 */
final class IndexedSet<T extends IndexedSet.Item> {
    private static final int ABSENT = -1;

    private final int id;
    private final List<T> items = new ArrayList<>();

    /** Base class of the items, which stores an item's index in each set. */
    abstract static class Item {
        private int[] indexBySet = new int[0];
    }

    /** Creates an empty set with a unique ID; an item stores an index for each ID up to the highest of its sets. */
    IndexedSet(int id) {
        this.id = id;
    }

    boolean has(T item) {
        int[] indexBySet = indexBySet(item);
        return id < indexBySet.length && indexBySet[id] != ABSENT;
    }

    /** Adds an item at the end, unless it is present. */
    void add(T item) {
        if (!has(item)) {
            Item indexed = item;
            int oldLength = indexed.indexBySet.length;
            if (id >= oldLength) {
                indexed.indexBySet = Arrays.copyOf(indexed.indexBySet, id + 1);
                Arrays.fill(indexed.indexBySet, oldLength, id + 1, ABSENT);
            }
            indexed.indexBySet[id] = items.size();
            items.add(item);
        }
    }

    /** Removes an item, if it is present; the last item moves to its index. */
    void remove(T item) {
        if (has(item)) {
            T last = items.remove(items.size() - 1);
            int index = indexBySet(item)[id];
            if (last != item) {
                items.set(index, last);
                indexBySet(last)[id] = index;
            }
            indexBySet(item)[id] = ABSENT;
        }
    }

    int size() {
        return items.size();
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    /** The item at this index, from 0 to {@code size() - 1}. */
    T get(int index) {
        return items.get(index);
    }

    private static int[] indexBySet(Item item) {
        return item.indexBySet;
    }
}
