package tulipshed.expression;

/** Texts to numbers of 0 and above; looked up without making anything new. Not changed once it is in use. */
final class StringToIntMap {
    private String[] keys = new String[16];
    private int[] values = new int[16];
    private int size;

    /** The number of that text, or -1. */
    int get(CharSequence key) {
        return get(key, key.length(), CharSequences.hash(key));
    }

    /** The number of the first characters of a text, whose hash is known, or -1. */
    int get(CharSequence text, int length, int hash) {
        int mask = keys.length - 1;
        for (int i = spread(hash) & mask; keys[i] != null; i = i + 1 & mask) {
            String k = keys[i];
            if (k.hashCode() == hash
                    && k.length() == length
                    && ((text instanceof String s && s.length() == length)
                            ? k.equals(s)
                            : CharSequences.at(text, k, 0))) {
                return values[i];
            }
        }
        return -1;
    }

    /** Adds a text that is not in it yet. */
    void put(String key, int value) {
        if (++size * 2 > keys.length) {
            String[] oldKeys = keys;
            int[] oldValues = values;
            keys = new String[2 * oldKeys.length];
            values = new int[keys.length];
            for (int i = 0; i < oldKeys.length; i++) {
                if (oldKeys[i] != null) {
                    place(oldKeys[i], oldValues[i]);
                }
            }
        }
        place(key, value);
    }

    private void place(String key, int value) {
        int mask = keys.length - 1;
        int i = spread(key.hashCode()) & mask;
        while (keys[i] != null) {
            i = i + 1 & mask;
        }
        keys[i] = key;
        values[i] = value;
    }

    private static int spread(int h) {
        int x = h * 0x9E3779B9;
        return x ^ x >>> 15;
    }
}
