package tulipshed.sexpr;

/** A place in a file: line and column, both counted from 1, columns in characters. */
public record Place(int line, int column) {
    /** Where a file as a whole is meant. */
    public static final Place START = new Place(1, 1);

    @Override
    public String toString() {
        return line + ":" + column;
    }
}
