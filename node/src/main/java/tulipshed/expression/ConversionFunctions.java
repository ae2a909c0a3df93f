package tulipshed.expression;

import java.util.List;

/** Explicit conversions between the types. */
final class ConversionFunctions {
    /** The length at most of an integer in decimal digits, with its sign. */
    private static final int MAX_INTEGER_LENGTH = 20;

    private static final Operator TO_DECIMAL = numericConversion("decimal");
    private static final Operator TO_INTEGER = numericConversion("integer");
    private static final Operator TO_STRING = new Operator(
            "string",
            Operator.CostFunction::result,
            (expression, operands, layout) ->
                    new ConversionNodes.IntegerToString(operands[0], layout.addBuffer(expression.maxLength)));

    static final List<BuiltinFunction> ENTRIES = List.of(
            BuiltinFunction.unary("(decimal INTEGER)", Type.INTEGER, Type.DECIMAL, TO_DECIMAL),
            BuiltinFunction.unary("(integer DECIMAL)", Type.DECIMAL, Type.INTEGER, TO_INTEGER),
            BuiltinFunction.of("(string INTEGER)", ConversionFunctions::integerToString));

    private ConversionFunctions() {}

    private static Operator numericConversion(String symbol) {
        return new Operator(
                symbol,
                Operator.CostFunction.NONE,
                (expression, operands, layout) -> new ConversionNodes.Numeric(operands[0]));
    }

    private static Expression integerToString(FunctionCall call) {
        if (call.size() != 1) {
            return call.syntaxError();
        }
        Expression integer = call.typed(0, Type.INTEGER);
        return integer.isUnknown() ? integer : call.makeString(TO_STRING, MAX_INTEGER_LENGTH, integer);
    }
}
