package tulipshed.sexpr;

/** What the lexer splits a text into. */
sealed interface Token {
    /** An opening bracket, round or square. */
    record Open(boolean square, SourcePosition place) implements Token {}

    /** A closing bracket, round or square. */
    record Close(boolean square, SourcePosition place) implements Token {}

    /** A form without parts: a symbol, a string or a number. */
    record Atom(Form form) implements Token {}
}
