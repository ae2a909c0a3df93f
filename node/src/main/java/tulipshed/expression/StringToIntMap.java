package tulipshed.expression;

/**
 * A hash table from strings to non-negative integers, with open addressing and linear probing. Any character sequence
 * can be looked up without allocation. Not modified once it is in use.
 */
final class StringToIntMap {
    private static final int INITIAL_CAPACITY = 16; // a power of 2

    /** 2^32 divided by the golden ratio, for Fibonacci hashing (Knuth, The Art of Computer Programming 3, 6.4). */
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    private String[] keys = new String[INITIAL_CAPACITY];
    private int[] values = new int[INITIAL_CAPACITY];
    private int size;

    /** Returns the value of a key, or -1. */
    int get(CharSequence key) {
        return get(key, key.length(), CharSequences.hash(key));
    }

    /** Returns the value of the first {@code length} characters of a text, whose hash is given, or -1. */
    int get(CharSequence text, int length, int hash) {
        int mask = keys.length - 1;
        for (int i = spread(hash) & mask; keys[i] != null; i = i + 1 & mask) {
            String key = keys[i];
            if (key.hashCode() == hash
                    && key.length() == length
                    && ((text instanceof String string && string.length() == length)
                            ? key.equals(string)
                            : CharSequences.regionMatches(text, 0, key))) {
                return values[i];
            }
        }
        return -1;
    }

    /** Adds a key that is not in the map yet. */
    void put(String key, int value) {
        if (++size * 2 > keys.length) {
            grow();
        }
        insert(key, value);
    }

    private void grow() {
        String[] oldKeys = keys;
        int[] oldValues = values;
        keys = new String[2 * oldKeys.length];
        values = new int[keys.length];
        for (int i = 0; i < oldKeys.length; i++) {
            if (oldKeys[i] != null) {
                insert(oldKeys[i], oldValues[i]);
            }
        }
    }

    private void insert(String key, int value) {
        int mask = keys.length - 1;
        int i = spread(key.hashCode()) & mask;
        while (keys[i] != null) {
            i = i + 1 & mask;
        }
        keys[i] = key;
        values[i] = value;
    }

    private static int spread(int hash) {
        int product = hash * HASH_MULTIPLIER;
        return product ^ product >>> 15;
    }
}
