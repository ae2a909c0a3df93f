package tulipshed.decision;

/** Hash functions whose values are the same in every process, unlike {@link Object#hashCode}. */
final class Hashing {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private Hashing() {}

    /** Hashes a string by FNV-1a over its characters, followed by {@link #mix}. */
    static long of(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** The finalizer of SplitMix64. */
    static long mix(long value) {
        value = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        value = (value ^ (value >>> 27)) * 0x94D049BB133111EBL;
        return value ^ (value >>> 31);
    }

    /** The {@code index}-th of the independent uniform numbers between 0 and 1 that a pair of hashes determines. */
    static double uniform(long firstHash, long secondHash, int index) {
        return uniform(series(firstHash, index), secondHash);
    }

    /** The {@code index}-th series hash that {@code firstHash} determines, for {@link #uniform(long, long)}. */
    static long series(long firstHash, int index) {
        return mix(firstHash + index * GOLDEN_GAMMA);
    }

    /** The uniform number between 0 and 1 that a series hash and a second hash determine. */
    static double uniform(long seriesHash, long secondHash) {
        return ((mix(seriesHash ^ secondHash) >>> 11) + 0.5) * 0x1p-53;
    }
}
