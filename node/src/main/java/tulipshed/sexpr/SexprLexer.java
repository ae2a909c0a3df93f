package tulipshed.sexpr;

/**
 * Splits a text into brackets and atoms; skips white space, and comments from a semicolon to the end of the line. Stops
 * at the first error that leaves open what the rest means.
 */
final class SexprLexer {
    private static final String SYMBOL_PUNCTUATION = "-_.?!*/+<>=%";
    private static final int MAX_SHOWN_NUMBER_LENGTH = 40; // characters

    private final String text;
    private final Diagnostics diagnostics;
    private int index;
    private int line = 1;
    private int lineStart;
    private boolean failed;

    SexprLexer(String text, Diagnostics diagnostics) {
        this.text = text;
        this.diagnostics = diagnostics;
    }

    /** Returns the next token; null at the end of the text, and after an error that stops the lexer. */
    Token next() {
        skipSpace();
        if (failed || index >= text.length()) {
            return null;
        }
        SourcePosition place = position();
        char first = text.charAt(index);
        switch (first) {
            case '(', '[' -> {
                index++;
                return new Token.Open(first == '[', place);
            }
            case ')', ']' -> {
                index++;
                return new Token.Close(first == ']', place);
            }
            case '"' -> {
                return readString(place);
            }
            default -> {
                return isSymbolCharacter(first)
                        ? new Token.Atom(readSymbolOrNumber(place))
                        : fail(place, "expected a form, found " + show(first));
            }
        }
    }

    /** Whether an error has stopped the lexer. */
    boolean failed() {
        return failed;
    }

    private void skipSpace() {
        while (index < text.length()) {
            char next = text.charAt(index);
            if (next == '\n') {
                index++;
                line++;
                lineStart = index;
            } else if (next == ' ' || next == '\t' || next == '\r') {
                index++;
            } else if (next == ';') {
                skipComment();
            } else {
                return;
            }
        }
    }

    private void skipComment() {
        while (index < text.length() && text.charAt(index) != '\n') {
            index++;
        }
    }

    private Token readString(SourcePosition start) {
        StringBuilder value = new StringBuilder();
        for (index++; index < text.length(); index++) {
            char next = text.charAt(index);
            if (next == '"') {
                index++;
                return new Token.Atom(new Form.StringLiteral(value.toString(), start));
            }
            if (next < ' ') {
                break;
            }
            if (next != '\\') {
                value.append(next);
                continue;
            }
            char escape = ++index < text.length() ? text.charAt(index) : ' ';
            switch (escape) {
                case '"', '\\' -> value.append(escape);
                case 'n' -> value.append('\n');
                case 't' -> value.append('\t');
                default -> {
                    return fail(position(), "expected \\\", \\\\, \\n or \\t, found \\" + show(escape));
                }
            }
        }
        return fail(start, "this string is not closed on its line");
    }

    private Form readSymbolOrNumber(SourcePosition place) {
        int start = index;
        while (index < text.length() && isSymbolCharacter(text.charAt(index))) {
            index++;
        }
        String word = text.substring(start, index);
        return startsNumber(word) ? parseNumber(word, place) : new Form.Symbol(word, place);
    }

    private static boolean startsNumber(String word) {
        char first = word.charAt(0);
        return Character.isDigit(first) || (first == '-' && word.length() > 1 && Character.isDigit(word.charAt(1)));
    }

    /** Parses a number; one that is malformed is reported and read as 0. */
    private Form parseNumber(String word, SourcePosition place) {
        try {
            return word.indexOf('.') < 0
                    ? new Form.IntegerLiteral(Long.parseLong(word), place)
                    : new Form.DecimalLiteral(parseDecimal(word), place);
        } catch (NumberFormatException e) {
            String shown = word.length() > MAX_SHOWN_NUMBER_LENGTH ? word.length() + " characters" : word;
            diagnostics.add(place, "expected a number of 64 bits, found " + shown);
            return new Form.IntegerLiteral(0, place);
        }
    }

    private static double parseDecimal(String word) {
        if (!word.matches("-?[0-9]{1,18}\\.[0-9]{1,18}")) {
            throw new NumberFormatException(word);
        }
        return Double.parseDouble(word);
    }

    private Token fail(SourcePosition place, String message) {
        diagnostics.add(place, message);
        failed = true;
        return null;
    }

    private SourcePosition position() {
        return new SourcePosition(line, index - lineStart + 1);
    }

    private static boolean isSymbolCharacter(char character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || SYMBOL_PUNCTUATION.indexOf(character) >= 0;
    }

    private static String show(char character) {
        return character > ' ' && character <= '~' ? String.valueOf(character) : "the character " + (int) character;
    }
}
