package tulipshed.sexpr;

import java.util.List;

/** What an S-expression is made of: words, texts, numbers and sequences of them. Every form knows its place. */
public sealed interface Form {
    /** Where its first character stands. */
    SourcePosition place();

    /** What it is, for errors: never longer than a few words. */
    String describe();

    /** A name or an operator. */
    record Word(String name, SourcePosition place) implements Form {
        @Override
        public String describe() {
            return "the word " + Form.shorten(name);
        }
    }

    /** A text in double quotes, its escapes undone. */
    record Text(String value, SourcePosition place) implements Form {
        @Override
        public String describe() {
            return "the text \"" + Form.shorten(value) + "\"";
        }
    }

    /** A whole number of 64 bits. */
    record Whole(long value, SourcePosition place) implements Form {
        @Override
        public String describe() {
            return "the number " + value;
        }
    }

    /** A number with a decimal point. */
    record Fraction(double value, SourcePosition place) implements Form {
        @Override
        public String describe() {
            return "the number " + value;
        }
    }

    /** Forms in round brackets, or in square ones, which hold literals. */
    record Sequence(List<Form> items, boolean square, SourcePosition place) implements Form {
        @Override
        public String describe() {
            return square
                    ? "a list in square brackets"
                    : items.isEmpty()
                            ? "()"
                            : items.get(0) instanceof Word w ? "(" + Form.shorten(w.name()) + " ...)" : "a list";
        }

        /** The word that it begins with, or null. */
        public String head() {
            return !square && !items.isEmpty() && items.get(0) instanceof Word w ? w.name() : null;
        }
    }

    private static String shorten(String text) {
        return text.length() <= 40 ? text : text.substring(0, 37) + "...";
    }
}
