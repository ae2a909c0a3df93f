package tulipshed.expression;

/**
 * A compiled expression: asked for the one kind of value that it has. Each adds to {@link EvaluationFrame#spent} what it cost.
 * Plain classes rather than generated code: they lie in the class archive and cost a start nothing.
 */
abstract class EvaluationNode {
    boolean booleanValue(EvaluationFrame frame) {
        throw new IllegalStateException("not a boolean");
    }

    long integerValue(EvaluationFrame frame) {
        throw new IllegalStateException("not an integer");
    }

    double decimalValue(EvaluationFrame frame) {
        throw new IllegalStateException("not a decimal");
    }

    CharSequence stringValue(EvaluationFrame frame) {
        throw new IllegalStateException("not a string");
    }

    /** The upper bits of an address; {@link #integerValue} gives the lower ones. */
    long addressHighBits(EvaluationFrame frame) {
        throw new IllegalStateException("not an address");
    }

    /** Whether there is a value; only attributes may lack one. */
    boolean isPresent(EvaluationFrame frame) {
        return true;
    }
}
