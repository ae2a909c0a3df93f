package tulipshed.expression;

import java.util.List;

/** Equality and order of two values of one type. */
final class ComparisonFunctions {
    private static final Operator LESS = new Operator(
            "<",
            Operator.CostFunction.NONE,
            (expression, operands, layout) ->
                    new ComparisonNodes.Less(false, isDecimal(expression), operands[0], operands[1]));
    private static final Operator AT_MOST = new Operator(
            "<=",
            Operator.CostFunction.NONE,
            (expression, operands, layout) ->
                    new ComparisonNodes.Less(true, isDecimal(expression), operands[0], operands[1]));

    static final List<BuiltinFunction> ENTRIES = List.of(
            BuiltinFunction.of("(= A B)", call -> equality(call, false)),
            BuiltinFunction.of("(!= A B)", call -> equality(call, true)),
            BuiltinFunction.of("(< A B)", call -> order(call, LESS, false)),
            BuiltinFunction.of("(<= A B)", call -> order(call, AT_MOST, false)),
            BuiltinFunction.of("(> A B)", call -> order(call, LESS, true)),
            BuiltinFunction.of("(>= A B)", call -> order(call, AT_MOST, true)));

    private ComparisonFunctions() {}

    private static boolean isDecimal(Expression comparison) {
        return comparison.argument(0).type == Type.DECIMAL;
    }

    private static Expression equality(FunctionCall call, boolean negated) {
        if (call.size() != 2) {
            return call.syntaxError();
        }
        Expression first = call.value(0);
        Expression second = call.value(1);
        Expression left = call.inference().convert(first, second.type);
        Expression right = call.inference().convert(second, first.type);
        if (Expression.anyUnknown(left, right)) {
            return call.unknown();
        }
        if (left.type != right.type) {
            return call.error("only values of one type can be equal: " + left.type.withArticle() + ", "
                    + right.type.withArticle());
        }
        Expression equal = call.make(Operator.EQUAL, Type.BOOLEAN, left, right);
        return negated ? call.make(Operator.NOT, Type.BOOLEAN, equal) : equal;
    }

    private static Expression order(FunctionCall call, Operator operator, boolean swapped) {
        if (call.size() != 2) {
            return call.syntaxError();
        }
        NumericOperands operands = NumericOperands.of(call, call.value(0), call.value(1));
        if (operands == null) {
            return call.unknown();
        }
        return swapped
                ? call.make(operator, Type.BOOLEAN, operands.right(), operands.left())
                : call.make(operator, Type.BOOLEAN, operands.left(), operands.right());
    }
}
