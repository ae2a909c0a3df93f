package tulipshed.expression;

/**
 * A compiled expression: asked for the one kind of value that it has. Each adds to {@link EvaluationFrame#spent} what it cost.
 * Plain classes rather than generated code: they lie in the class archive and cost a start nothing.
 */
abstract class EvaluationNode {
    boolean truth(EvaluationFrame f) {
        throw new IllegalStateException("not a boolean");
    }

    long whole(EvaluationFrame f) {
        throw new IllegalStateException("not an integer");
    }

    double fraction(EvaluationFrame f) {
        throw new IllegalStateException("not a decimal");
    }

    CharSequence text(EvaluationFrame f) {
        throw new IllegalStateException("not a string");
    }

    /** The upper bits of an address; {@link #whole} gives the lower ones. */
    long high(EvaluationFrame f) {
        throw new IllegalStateException("not an address");
    }

    /** Whether there is a value; only attributes may lack one. */
    boolean present(EvaluationFrame f) {
        return true;
    }
}
