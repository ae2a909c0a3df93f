package tulipshed.expression;

/** A literal. */
final class LiteralNode extends EvaluationNode {
    private final boolean booleanValue;
    private final long integerValue;
    private final double decimalValue;
    private final String stringValue;

    LiteralNode(Object value) {
        booleanValue = Boolean.TRUE.equals(value);
        integerValue = value instanceof Long integer ? integer : 0;
        decimalValue = value instanceof Double decimal ? decimal : 0;
        stringValue = value instanceof String string ? string : null;
    }

    @Override
    boolean booleanValue(EvaluationFrame frame) {
        frame.spent++;
        return booleanValue;
    }

    @Override
    long integerValue(EvaluationFrame frame) {
        frame.spent++;
        return integerValue;
    }

    @Override
    double decimalValue(EvaluationFrame frame) {
        frame.spent++;
        return decimalValue;
    }

    @Override
    CharSequence stringValue(EvaluationFrame frame) {
        frame.spent++;
        return stringValue;
    }
}
