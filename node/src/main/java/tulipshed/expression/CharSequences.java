package tulipshed.expression;

/** Comparison and hashing of character sequences without allocation. */
final class CharSequences {
    private CharSequences() {}

    static boolean equal(CharSequence first, CharSequence second) {
        if (first instanceof String left && second instanceof String right) {
            return left.equals(right);
        }
        return first.length() == second.length() && regionMatches(first, 0, second);
    }

    /** Whether {@code part} occurs in {@code text} at the offset; not where it would reach beyond either end. */
    static boolean regionMatches(CharSequence text, int offset, CharSequence part) {
        if (offset < 0 || offset + part.length() > text.length()) {
            return false;
        }
        for (int i = 0; i < part.length(); i++) {
            if (text.charAt(offset + i) != part.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the hash that {@link String#hashCode} gives for the same characters. */
    static int hash(CharSequence text) {
        return text instanceof String ? text.hashCode() : hash(text, text.length());
    }

    private static int hash(CharSequence text, int length) {
        int hash = 0;
        for (int i = 0; i < length; i++) {
            hash = 31 * hash + text.charAt(i);
        }
        return hash;
    }
}
