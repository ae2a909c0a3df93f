package tulipshed.expression;

/** An expression that can be evaluated once its {@link Program} is built. */
public final class CompiledExpression {
    private final Expression expression;
    private EvaluationNode node;

    CompiledExpression(Expression expression) {
        this.expression = expression;
    }

    void compile(ExpressionCompiler compiler) {
        node = compiler.compile(expression);
    }

    /** Evaluates a boolean. */
    public boolean booleanValue(EvaluationFrame frame) {
        return node.booleanValue(frame);
    }

    /** Evaluates an integer. */
    public long integerValue(EvaluationFrame frame) {
        return node.integerValue(frame);
    }

    /** Evaluates a decimal. */
    public double decimalValue(EvaluationFrame frame) {
        return node.decimalValue(frame);
    }

    /** Evaluates a string, which is valid until the frame begins another evaluation. */
    public CharSequence stringValue(EvaluationFrame frame) {
        return node.stringValue(frame);
    }

    /** Evaluates to an object: Boolean, Long, Double or String. */
    public Object boxedValue(EvaluationFrame frame) {
        return switch (expression.type) {
            case BOOLEAN -> node.booleanValue(frame);
            case INTEGER -> node.integerValue(frame);
            case DECIMAL -> node.decimalValue(frame);
            case STRING -> node.stringValue(frame).toString();
            default -> throw new IllegalStateException("an address has no value of its own");
        };
    }
}
