package tulipshed.expression;

import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.util.List;
import tulipshed.sexpr.Form;

/** Functions of regular expressions, which are RE2's. */
final class RegexFunctions {
    private static final int MAX_PATTERN_LENGTH = 512; // characters
    private static final int MAX_INSTRUCTIONS = 2_000;

    /** The limit of the size estimate, which is an upper bound: a pattern within it is compiled to be measured. */
    private static final int MAX_ESTIMATE = 4 * MAX_INSTRUCTIONS;

    private static final Operator MATCHES = new Operator(
            "matches",
            RegexFunctions::cost,
            (expression, operands, layout) -> new RegexMatchNode(
                    operands[0],
                    (RegularExpression) expression.constant,
                    layout.addMatcher(((RegularExpression) expression.constant).pattern())));

    static final List<BuiltinFunction> ENTRIES =
            List.of(BuiltinFunction.of("(matches STRING \"REGULAR EXPRESSION\")", RegexFunctions::matches));

    private RegexFunctions() {}

    private static long cost(Expression matches) {
        int instructions = ((RegularExpression) matches.constant).instructionCount();
        return CostModel.units((long) (matches.argument(0).maxLength + 1) * instructions);
    }

    private static Expression matches(FunctionCall call) {
        if (call.size() != 2) {
            return call.syntaxError();
        }
        Expression string = call.typed(0, Type.STRING);
        if (!(call.argument(1) instanceof Form.StringLiteral pattern)) {
            return call.error(
                    1,
                    "expected a regular expression as it is, found "
                            + call.argument(1).describe());
        }
        if (pattern.value().length() > MAX_PATTERN_LENGTH) {
            return call.error(1, "a regular expression of more than " + MAX_PATTERN_LENGTH + " characters");
        }
        // The estimate does not read quotation with \Q.
        if (pattern.value().contains("\\Q") || RegexSizeEstimator.estimate(pattern.value()) > MAX_ESTIMATE) {
            return call.error(1, "this regular expression is too large once its repeats are written out, or holds \\Q");
        }
        RegularExpression expression = compile(call, pattern.value());
        if (expression == null || string.isUnknown()) {
            return call.unknown();
        }
        if (expression.instructionCount() > MAX_INSTRUCTIONS) {
            return call.error(
                    1,
                    "this regular expression has " + expression.instructionCount() + " instructions; at most "
                            + MAX_INSTRUCTIONS + " are allowed");
        }
        return call.makeWithConstant(MATCHES, Type.BOOLEAN, expression, string);
    }

    /** Compiles a pattern; null, with an error reported, where it is not valid. */
    private static RegularExpression compile(FunctionCall call, String pattern) {
        try {
            return new RegularExpression(pattern, Pattern.compile(pattern));
        } catch (PatternSyntaxException e) {
            call.error(1, "not a regular expression of RE2: " + e.getDescription());
            return null;
        }
    }
}
