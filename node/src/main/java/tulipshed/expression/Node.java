package tulipshed.expression;

/**
 * A compiled expression: asked for the one kind of value that it has. Each adds to {@link Frame#spent} what it cost.
 * Plain classes rather than generated code: they lie in the class archive and cost a start nothing.
 */
abstract class Node {
    boolean truth(Frame f) {
        throw new IllegalStateException("not a boolean");
    }

    long whole(Frame f) {
        throw new IllegalStateException("not an integer");
    }

    double fraction(Frame f) {
        throw new IllegalStateException("not a decimal");
    }

    CharSequence text(Frame f) {
        throw new IllegalStateException("not a string");
    }

    /** The upper bits of an address; {@link #whole} gives the lower ones. */
    long high(Frame f) {
        throw new IllegalStateException("not an address");
    }

    /** Whether there is a value; only attributes may lack one. */
    boolean present(Frame f) {
        return true;
    }
}
