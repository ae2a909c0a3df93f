package tulipshed.expression;

/** Whole numbers to numbers of 0 and above; looked up without making anything new. Not changed once it is in use. */
final class LongToIntMap {
    private long[] keys = new long[16];
    private int[] values = filled(16);
    private int size;

    private static int[] filled(int n) {
        int[] v = new int[n];
        java.util.Arrays.fill(v, -1);
        return v;
    }

    /** The number of that key, or -1. */
    int get(long key) {
        int mask = keys.length - 1;
        int i = spread(key) & mask;
        while (values[i] >= 0 && keys[i] != key) {
            i = i + 1 & mask;
        }
        return values[i];
    }

    /** Adds a key that is not in it yet. */
    void put(long key, int value) {
        if (++size * 2 > keys.length) {
            long[] oldKeys = keys;
            int[] oldValues = values;
            keys = new long[2 * oldKeys.length];
            values = filled(keys.length);
            for (int i = 0; i < oldKeys.length; i++) {
                if (oldValues[i] >= 0) {
                    place(oldKeys[i], oldValues[i]);
                }
            }
        }
        place(key, value);
    }

    private void place(long key, int value) {
        int mask = keys.length - 1;
        int i = spread(key) & mask;
        while (values[i] >= 0) {
            i = i + 1 & mask;
        }
        keys[i] = key;
        values[i] = value;
    }

    private static int spread(long key) {
        long h = key * 0x9E3779B97F4A7C15L;
        return (int) (h ^ h >>> 32);
    }
}
