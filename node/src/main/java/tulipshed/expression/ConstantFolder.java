package tulipshed.expression;

import java.util.List;
import tulipshed.expression.Expression.Structure;
import tulipshed.sexpr.SourcePosition;

/** Constant folding: evaluates operations on literals when they are compiled. */
final class ConstantFolder {
    private ConstantFolder() {}

    /** Returns the result as a Boolean, Long, Double or String. */
    static Object evaluate(Operator operator, Type type, Object constant, List<Expression> literals, int maxLength) {
        Expression expression =
                new Expression(-1, new Structure(operator, type, constant, literals), maxLength, SourcePosition.START);
        ExpressionCompiler compiler = new ExpressionCompiler();
        EvaluationNode node = compiler.compile(expression);
        EvaluationFrame frame = compiler.layout().newFrame(0);
        frame.begin();
        return switch (type) {
            case BOOLEAN -> node.booleanValue(frame);
            case INTEGER -> node.integerValue(frame);
            case DECIMAL -> node.decimalValue(frame);
            default -> node.stringValue(frame).toString();
        };
    }
}
