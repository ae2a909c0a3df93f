package tulipshed.expression;

import java.util.List;

/** String functions. */
final class StringFunctions {
    private static final Operator SUFFIX = new Operator(
            "suffix",
            Operator.CostFunction::shorterString,
            (expression, operands, layout) -> new StringNodes.StartsOrEndsWith(false, operands[0], operands[1]));
    private static final Operator CONTAINS = new Operator(
            "contains",
            StringFunctions::containsCost,
            (expression, operands, layout) -> new StringNodes.Contains(operands[0], operands[1]));
    private static final Operator SUBSTRING = new Operator(
            "substring",
            Operator.CostFunction::result,
            (expression, operands, layout) -> new StringNodes.Substring(
                    operands[0], operands[1], operands[2], layout.addBuffer(expression.maxLength)));
    private static final Operator CONCAT = new Operator(
            "concat",
            Operator.CostFunction::result,
            (expression, operands, layout) -> new StringNodes.Concat(operands, layout.addBuffer(expression.maxLength)));
    private static final Operator LOWER = new Operator(
            "lower",
            Operator.CostFunction::result,
            (expression, operands, layout) ->
                    new StringNodes.LowerCase(operands[0], layout.addBuffer(expression.maxLength)));
    private static final Operator LENGTH = new Operator(
            "length",
            Operator.CostFunction.NONE,
            (expression, operands, layout) -> new StringNodes.Length(operands[0]));

    static final List<BuiltinFunction> ENTRIES = List.of(
            BuiltinFunction.binary("(prefix STRING STRING)", Type.STRING, Type.BOOLEAN, Operator.PREFIX),
            BuiltinFunction.binary("(suffix STRING STRING)", Type.STRING, Type.BOOLEAN, SUFFIX),
            BuiltinFunction.binary("(contains STRING STRING)", Type.STRING, Type.BOOLEAN, CONTAINS),
            BuiltinFunction.of("(substring STRING FROM TO)", StringFunctions::substring),
            BuiltinFunction.of("(concat STRING STRING ...)", StringFunctions::concat),
            BuiltinFunction.of("(lower STRING)", StringFunctions::lower),
            BuiltinFunction.unary("(length STRING)", Type.STRING, Type.INTEGER, LENGTH));

    private StringFunctions() {}

    private static long containsCost(Expression contains) {
        return CostModel.units((long) contains.argument(0).maxLength * contains.argument(1).maxLength);
    }

    private static Expression substring(FunctionCall call) {
        if (call.size() != 3) {
            return call.syntaxError();
        }
        Expression string = call.typed(0, Type.STRING);
        Expression from = call.typed(1, Type.INTEGER);
        Expression to = call.typed(2, Type.INTEGER);
        if (Expression.anyUnknown(string, from, to)) {
            return call.unknown();
        }
        long start = from.isLiteral() ? clamp((Long) from.constant, 0, string.maxLength) : 0;
        long end = to.isLiteral() ? clamp((Long) to.constant, start, string.maxLength) : string.maxLength;
        return call.makeString(SUBSTRING, (int) (end - start), string, from, to);
    }

    private static long clamp(long value, long min, long max) {
        return Math.max(min, Math.min(max, value));
    }

    private static Expression concat(FunctionCall call) {
        if (call.size() < 2) {
            return call.syntaxError();
        }
        Expression[] strings = call.allTyped(Type.STRING);
        if (Expression.anyUnknown(strings)) {
            return call.unknown();
        }
        long maxLength = 0;
        for (Expression string : strings) {
            maxLength += string.maxLength;
        }
        if (maxLength > CostModel.MAX_STRING_LENGTH) {
            return call.error("this may grow to " + maxLength + " characters; at most " + CostModel.MAX_STRING_LENGTH
                    + " are allowed: shorten a part with substring, or declare shorter attributes");
        }
        return call.makeString(CONCAT, (int) maxLength, strings);
    }

    private static Expression lower(FunctionCall call) {
        if (call.size() != 1) {
            return call.syntaxError();
        }
        Expression string = call.typed(0, Type.STRING);
        return string.isUnknown() ? string : call.makeString(LOWER, string.maxLength, string);
    }
}
