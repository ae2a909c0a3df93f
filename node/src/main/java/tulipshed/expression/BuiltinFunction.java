package tulipshed.expression;

/**
 * An entry of the table of built-in functions.
 *
 * @param name the name in the language
 * @param syntax how a call is written, which diagnostics print as help
 * @param rule checks a call and makes its expression
 */
record BuiltinFunction(String name, String syntax, TypingRule rule) {
    /** Checks the types of a call and makes its expression; an error is reported and gives an unknown expression. */
    @FunctionalInterface
    interface TypingRule {
        Expression apply(FunctionCall call);
    }

    /** Returns a function that checks its calls itself; the name is the first word of the syntax. */
    static BuiltinFunction of(String syntax, TypingRule rule) {
        return new BuiltinFunction(syntax.substring(1, syntax.indexOf(' ')), syntax, rule);
    }

    /** Returns a function of one argument whose result is no string. */
    static BuiltinFunction unary(String syntax, Type argumentType, Type resultType, Operator operator) {
        return of(syntax, call -> {
            if (call.size() != 1) {
                return call.syntaxError();
            }
            Expression argument = call.typed(0, argumentType);
            return argument.isUnknown() ? argument : call.make(operator, resultType, argument);
        });
    }

    /** Returns a function of two arguments of one type whose result is no string. */
    static BuiltinFunction binary(String syntax, Type argumentType, Type resultType, Operator operator) {
        return of(syntax, call -> {
            if (call.size() != 2) {
                return call.syntaxError();
            }
            Expression left = call.typed(0, argumentType);
            Expression right = call.typed(1, argumentType);
            return Expression.anyUnknown(left, right) ? call.unknown() : call.make(operator, resultType, left, right);
        });
    }
}
