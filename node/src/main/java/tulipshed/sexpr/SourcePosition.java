package tulipshed.sexpr;

/** A place in a file: line and column, both counted from 1, columns in characters. */
public record SourcePosition(int line, int column) {
    /** Where a file as a whole is meant. */
    public static final SourcePosition START = new SourcePosition(1, 1);

    @Override
    public String toString() {
        return line + ":" + column;
    }
}
