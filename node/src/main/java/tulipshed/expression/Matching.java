package tulipshed.expression;

import com.google.re2j.Pattern;

/** A regular expression of RE2, whose matching takes time linear in the text; equal where it is written the same. */
record Matching(String source, Pattern pattern) {
    /** Steps that a character may cost at most. */
    int size() {
        return pattern.programSize();
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Matching m && m.source.equals(source);
    }

    @Override
    public int hashCode() {
        return source.hashCode();
    }

    @Override
    public String toString() {
        return "\"" + source + "\"";
    }
}
