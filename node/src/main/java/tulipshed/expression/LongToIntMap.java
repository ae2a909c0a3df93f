package tulipshed.expression;

import java.util.Arrays;

/**
 * A hash table from 64-bit integers to non-negative integers, with open addressing and linear probing. Looked up
 * without allocation. Not modified once it is in use.
 */
final class LongToIntMap {
    private static final int INITIAL_CAPACITY = 16; // a power of 2
    private static final int EMPTY = -1;

    /** 2^64 divided by the golden ratio, for Fibonacci hashing (Knuth, The Art of Computer Programming 3, 6.4). */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private long[] keys = new long[INITIAL_CAPACITY];
    private int[] values = emptyValues(INITIAL_CAPACITY);
    private int size;

    /** Returns the value of a key, or -1. */
    int get(long key) {
        int mask = keys.length - 1;
        int i = spread(key) & mask;
        while (values[i] >= 0 && keys[i] != key) {
            i = i + 1 & mask;
        }
        return values[i];
    }

    /** Adds a key that is not in the map yet. */
    void put(long key, int value) {
        if (++size * 2 > keys.length) {
            grow();
        }
        insert(key, value);
    }

    private void grow() {
        long[] oldKeys = keys;
        int[] oldValues = values;
        keys = new long[2 * oldKeys.length];
        values = emptyValues(keys.length);
        for (int i = 0; i < oldKeys.length; i++) {
            if (oldValues[i] >= 0) {
                insert(oldKeys[i], oldValues[i]);
            }
        }
    }

    private void insert(long key, int value) {
        int mask = keys.length - 1;
        int i = spread(key) & mask;
        while (values[i] >= 0) {
            i = i + 1 & mask;
        }
        keys[i] = key;
        values[i] = value;
    }

    private static int[] emptyValues(int capacity) {
        int[] values = new int[capacity];
        Arrays.fill(values, EMPTY);
        return values;
    }

    private static int spread(long key) {
        long product = key * HASH_MULTIPLIER;
        return (int) (product ^ product >>> 32);
    }
}
