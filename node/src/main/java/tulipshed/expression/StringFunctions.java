package tulipshed.expression;

import java.util.List;
import tulipshed.sexpr.Form;

/** Checks the use of the functions over strings: their parts, what is made of them, patterns and shares. */
final class StringFunctions {
    private static final int LONGEST_PATTERN = 512; // characters
    private static final int LARGEST_PATTERN = 2_000; // instructions
    private static final int MOST_SHARES = 1_000_000;

    private final Functions functions;
    private final TypeChecker checker;
    private final ExpressionInterner terms;

    StringFunctions(Functions functions, TypeChecker checker, ExpressionInterner terms) {
        this.functions = functions;
        this.checker = checker;
        this.terms = terms;
    }

    Expression part(Form.Sequence s, Operator op, List<Form> args) {
        if (args.size() != 2) {
            return functions.shape(s);
        }
        Expression a = functions.typed(args.get(0), Type.STRING);
        Expression b = functions.typed(args.get(1), Type.STRING);
        return Functions.unknown(a, b) ? terms.unknown(s.place()) : terms.make(op, Type.BOOLEAN, s.place(), a, b);
    }

    Expression substring(Form.Sequence s, List<Form> args) {
        if (args.size() != 3) {
            return functions.shape(s);
        }
        Expression a = functions.typed(args.get(0), Type.STRING);
        Expression from = functions.typed(args.get(1), Type.INTEGER);
        Expression to = functions.typed(args.get(2), Type.INTEGER);
        if (Functions.unknown(a, from, to)) {
            return terms.unknown(s.place());
        }
        long first = from.isLiteral() ? Math.max(0, Math.min(a.longest, (Long) from.literal)) : 0;
        long last = to.isLiteral() ? Math.max(first, Math.min(a.longest, (Long) to.literal)) : a.longest;
        return terms.make(Operator.SUBSTRING, Type.STRING, null, (int) (last - first), s.place(), a, from, to);
    }

    Expression concat(Form.Sequence s, List<Form> args) {
        if (args.size() < 2) {
            return functions.shape(s);
        }
        Expression[] parts =
                args.stream().map(f -> functions.typed(f, Type.STRING)).toArray(Expression[]::new);
        if (Functions.unknown(parts)) {
            return terms.unknown(s.place());
        }
        long longest = 0;
        for (Expression p : parts) {
            longest += p.longest;
        }
        return longest > CostModel.LONGEST_TEXT
                ? checker.wrong(
                        s.place(),
                        "this may grow to " + longest + " characters; at most " + CostModel.LONGEST_TEXT
                                + " are allowed: shorten a part with substring, or declare shorter attributes")
                : terms.make(Operator.CONCAT, Type.STRING, null, (int) longest, s.place(), parts);
    }

    Expression matches(Form.Sequence s, List<Form> args) {
        if (args.size() != 2) {
            return functions.shape(s);
        }
        Expression a = functions.typed(args.get(0), Type.STRING);
        if (!(args.get(1) instanceof Form.Text text)) {
            return checker.wrong(
                    args.get(1).place(),
                    "expected a regular expression as it is, found "
                            + args.get(1).describe());
        }
        if (text.value().length() > LONGEST_PATTERN) {
            return checker.wrong(text.place(), "a regular expression of more than " + LONGEST_PATTERN + " characters");
        }
        if (text.value().contains("\\Q") || PatternSize.of(text.value()) > 4 * LARGEST_PATTERN) {
            return checker.wrong(
                    text.place(),
                    "this regular expression is too large once its repeats are written out, or " + "holds \\Q");
        }
        Matching m = checker.matching(text);
        if (m == null || a.unknown()) {
            return terms.unknown(s.place());
        }
        if (m.size() > LARGEST_PATTERN) {
            return checker.wrong(
                    text.place(),
                    "this regular expression has " + m.size() + " instructions; at most " + LARGEST_PATTERN
                            + " are allowed");
        }
        return terms.make(Operator.MATCHES, Type.BOOLEAN, m, 0, s.place(), a);
    }

    Expression bucket(Form.Sequence s, List<Form> args) {
        if (args.size() != 2) {
            return functions.shape(s);
        }
        Expression a = functions.typed(args.get(0), Type.STRING);
        Expression shares = functions.typed(args.get(1), Type.INTEGER);
        if (Functions.unknown(a, shares)) {
            return terms.unknown(s.place());
        }
        if (!shares.isLiteral() || (Long) shares.literal < 1 || (Long) shares.literal > MOST_SHARES) {
            return checker.wrong(args.get(1).place(), "expected a number of shares from 1 to " + MOST_SHARES);
        }
        return terms.make(Operator.BUCKET, Type.INTEGER, (int) (long) (Long) shares.literal, 0, s.place(), a);
    }
}
