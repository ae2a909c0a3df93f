package tulipshed.expression;

import com.google.re2j.Pattern;

/** An RE2 regular expression, matched in time linear in the input; equal to another with the same source. */
record RegularExpression(String source, Pattern pattern) {
    /** Returns the number of instructions, which bounds the steps for each character. */
    int instructionCount() {
        return pattern.programSize();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RegularExpression expression && expression.source.equals(source);
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
