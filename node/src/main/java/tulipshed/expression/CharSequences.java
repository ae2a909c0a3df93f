package tulipshed.expression;

/** Comparing and hashing of texts without making new ones. */
final class CharSequences {
    private CharSequences() {}

    static boolean equal(CharSequence a, CharSequence b) {
        if (a instanceof String left && b instanceof String right) {
            return left.equals(right);
        }
        return a.length() == b.length() && at(a, b, 0);
    }

    /** Whether {@code part} stands in {@code whole} at that place. */
    static boolean at(CharSequence whole, CharSequence part, int from) {
        if (from < 0 || from + part.length() > whole.length()) {
            return false;
        }
        for (int i = 0; i < part.length(); i++) {
            if (whole.charAt(from + i) != part.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** As {@link String#hashCode} has it. */
    static int hash(CharSequence s) {
        return s instanceof String ? s.hashCode() : hash(s, s.length());
    }

    /** Of the first characters. */
    static int hash(CharSequence s, int length) {
        int h = 0;
        for (int i = 0; i < length; i++) {
            h = 31 * h + s.charAt(i);
        }
        return h;
    }
}
