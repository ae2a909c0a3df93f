package tulipshed.sexpr;

/** A position in a file: line and column, both from 1, columns in UTF-16 code units. */
public record SourcePosition(int line, int column) {
    /** The start of a file, for errors of the file as a whole. */
    public static final SourcePosition START = new SourcePosition(1, 1);

    @Override
    public String toString() {
        return line + ":" + column;
    }
}
