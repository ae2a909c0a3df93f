package tulipshed.expression;

import java.util.List;

/** Boolean functions. */
final class LogicFunctions {
    static final List<BuiltinFunction> ENTRIES = List.of(
            BuiltinFunction.of("(and BOOLEAN ...)", call -> junction(call, Operator.AND)),
            BuiltinFunction.of("(or BOOLEAN ...)", call -> junction(call, Operator.OR)),
            BuiltinFunction.of("(not BOOLEAN)", LogicFunctions::not));

    private static final int MAX_OPERANDS = 1000;

    private LogicFunctions() {}

    private static Expression junction(FunctionCall call, Operator operator) {
        if (call.size() < 1) {
            return call.syntaxError();
        }
        if (call.size() > MAX_OPERANDS) {
            return call.error(
                    "more than " + MAX_OPERANDS + " parts: literals belong in (in X [...]), the rest in rules");
        }
        return ofBooleans(call, operator);
    }

    private static Expression not(FunctionCall call) {
        return call.size() == 1 ? ofBooleans(call, Operator.NOT) : call.syntaxError();
    }

    private static Expression ofBooleans(FunctionCall call, Operator operator) {
        Expression[] operands = call.allTyped(Type.BOOLEAN);
        return Expression.anyUnknown(operands) ? call.unknown() : call.make(operator, Type.BOOLEAN, operands);
    }
}
