package tulipshed.sexpr;

import java.util.List;

/** An S-expression: an atom, which is a symbol, a string or a number, or a sequence of forms. */
public sealed interface Form {
    /** Returns the position of the first character. */
    SourcePosition place();

    /** Returns a description of a few words for diagnostics. */
    String describe();

    /** A name or an operator. */
    record Symbol(String name, SourcePosition place) implements Form {
        @Override
        public String describe() {
            return "the symbol " + Form.abridge(name);
        }
    }

    /** A string in double quotes, with its escapes replaced. */
    record StringLiteral(String value, SourcePosition place) implements Form {
        @Override
        public String describe() {
            return "the string \"" + Form.abridge(value) + "\"";
        }
    }

    /** An integer of 64 bits. */
    record IntegerLiteral(long value, SourcePosition place) implements Form {
        @Override
        public String describe() {
            return "the number " + value;
        }
    }

    /** A number with a decimal point. */
    record DecimalLiteral(double value, SourcePosition place) implements Form {
        @Override
        public String describe() {
            return "the number " + value;
        }
    }

    /** Forms in round brackets, or literals in square ones. */
    record Sequence(List<Form> items, boolean square, SourcePosition place) implements Form {
        @Override
        public String describe() {
            if (square) {
                return "a list in square brackets";
            }
            if (items.isEmpty()) {
                return "()";
            }
            return head() == null ? "a list" : "(" + Form.abridge(head()) + " ...)";
        }

        /** Returns the symbol that a sequence in round brackets begins with, or null. */
        public String head() {
            return !square && !items.isEmpty() && items.get(0) instanceof Symbol symbol ? symbol.name() : null;
        }
    }

    private static String abridge(String text) {
        return text.length() <= 40 ? text : text.substring(0, 37) + "...";
    }
}
