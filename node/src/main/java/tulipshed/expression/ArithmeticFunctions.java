package tulipshed.expression;

import java.util.List;
import tulipshed.expression.ArithmeticNodes.Operation;

/** Arithmetic on integers or on decimals. */
final class ArithmeticFunctions {
    private static final int MAX_OPERANDS = 100;

    private static final Operator ADD = binary("+", Operation.ADD);
    private static final Operator SUBTRACT = binary("-", Operation.SUBTRACT);
    private static final Operator MULTIPLY = binary("*", Operation.MULTIPLY);
    private static final Operator MINIMUM = binary("min", Operation.MINIMUM);
    private static final Operator MAXIMUM = binary("max", Operation.MAXIMUM);
    private static final Operator DIVIDE = division("/", false);
    private static final Operator MODULO = division("mod", true);

    static final List<BuiltinFunction> ENTRIES = List.of(
            BuiltinFunction.of("(+ A B ...)", call -> fold(call, ADD)),
            BuiltinFunction.of("(- A B)", call -> call.size() == 2 ? fold(call, SUBTRACT) : call.syntaxError()),
            BuiltinFunction.of("(* A B ...)", call -> fold(call, MULTIPLY)),
            BuiltinFunction.of("(/ A B [ELSE])", call -> divide(call, DIVIDE)),
            BuiltinFunction.of("(mod A B [ELSE])", call -> divide(call, MODULO)),
            BuiltinFunction.of("(min A B ...)", call -> fold(call, MINIMUM)),
            BuiltinFunction.of("(max A B ...)", call -> fold(call, MAXIMUM)));

    private ArithmeticFunctions() {}

    private static Operator binary(String symbol, Operation operation) {
        return new Operator(
                symbol,
                Operator.CostFunction.NONE,
                (expression, operands, layout) -> new ArithmeticNodes.Binary(operation, operands[0], operands[1]));
    }

    private static Operator division(String symbol, boolean modulo) {
        return new Operator(
                symbol,
                Operator.CostFunction.NONE,
                (expression, operands, layout) ->
                        new ArithmeticNodes.Divide(modulo, operands[0], operands[1], operands[2]));
    }

    /** Applies a binary operator to the arguments from left to right. */
    private static Expression fold(FunctionCall call, Operator operator) {
        if (call.size() < 2) {
            return call.syntaxError();
        }
        if (call.size() > MAX_OPERANDS) {
            return call.error("more than " + MAX_OPERANDS + " arguments");
        }
        Expression result = call.value(0);
        for (int i = 1; i < call.size(); i++) {
            NumericOperands operands = NumericOperands.of(call, result, call.value(i));
            if (operands == null) {
                return call.unknown();
            }
            result = call.make(operator, operands.type(), operands.left(), operands.right());
        }
        return result;
    }

    /** A division needs the result for a divisor of 0, unless the divisor is a literal other than 0. */
    private static Expression divide(FunctionCall call, Operator operator) {
        if (call.size() != 2 && call.size() != 3) {
            return call.syntaxError();
        }
        NumericOperands operands = NumericOperands.of(call, call.value(0), call.value(1));
        if (operands == null) {
            return call.unknown();
        }
        Type type = operands.type();
        if (operator == MODULO && type != Type.INTEGER) {
            return call.error("expected two integers, found decimals");
        }
        Object zeroValue = type == Type.INTEGER ? (Object) 0L : (Object) 0.0;
        Expression zero = call.interner().literal(zeroValue, call.place());
        Expression resultForZero = call.size() == 3 ? call.typed(2, type) : zero;
        if (resultForZero.isUnknown()) {
            return resultForZero;
        }
        Expression divisor = operands.right();
        if (call.size() == 2 && (!divisor.isLiteral() || divisor == zero)) {
            return call.error(1, "the divisor may be 0: say what holds then, (" + call.name() + " A B ELSE)");
        }
        return call.make(operator, type, operands.left(), divisor, resultForZero);
    }
}
