package tulipshed.expression;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Upper bounds of what evaluations cost, known when expressions are checked. The unit is about one comparison, or 16
 * characters read. A common subexpression counts once, and one unit for each further use.
 */
public final class CostModel {
    /** The length at most of a string that an expression may make, in characters. */
    public static final int MAX_STRING_LENGTH = 4096;

    /** The expected cost of JumpBackHash, which draws a few random numbers whatever the number of buckets. */
    static final int BUCKET_UNITS = 8;

    private static final int CHARACTERS_PER_UNIT = 16;

    private final Map<Expression, Long> bodyBounds = new HashMap<>();

    /** Returns the cost of reading or writing that many characters. */
    static long units(long characters) {
        return (characters + CHARACTERS_PER_UNIT - 1) / CHARACTERS_PER_UNIT;
    }

    /** Returns the bound of an expression, with all that it refers to. */
    public long bound(Expression root) {
        return bound(root, new HashSet<>());
    }

    /** Returns the bound without the cached expressions in {@code counted}, to which those of this one are added. */
    long bound(Expression root, Set<Expression> counted) {
        long sum = reference(root);
        ArrayDeque<Expression> open = new ArrayDeque<>();
        Set<Expression> seen = new HashSet<>();
        open.push(root);
        while (!open.isEmpty()) {
            Expression expression = open.pop();
            if (!seen.add(expression)) {
                continue;
            }
            if (expression.isCached() && counted.add(expression)) {
                sum = SaturatingMath.add(sum, body(expression));
            }
            expression.arguments.forEach(open::push);
        }
        return sum;
    }

    /** Returns the cost of one use: a cached expression is read from its slot. */
    private long reference(Expression expression) {
        return expression.isCached() ? 1 : body(expression);
    }

    /** Returns the cost of one evaluation, with one unit for each cached expression below. */
    private long body(Expression expression) {
        Long known = bodyBounds.get(expression);
        if (known != null) {
            return known;
        }
        long sum = expression.operator.cost(expression);
        if (expression.operator == Operator.IF) {
            sum = SaturatingMath.add(sum, reference(expression.argument(0)));
            long costlierBranch = Math.max(reference(expression.argument(1)), reference(expression.argument(2)));
            sum = SaturatingMath.add(sum, costlierBranch);
        } else {
            for (Expression argument : expression.arguments) {
                sum = SaturatingMath.add(sum, reference(argument));
            }
        }
        bodyBounds.put(expression, sum);
        return sum;
    }

    /** Returns the operation within an expression that alone costs most. */
    public static Expression mostExpensivePart(Expression root) {
        Expression most = root;
        Set<Expression> seen = new HashSet<>();
        ArrayDeque<Expression> open = new ArrayDeque<>();
        open.push(root);
        while (!open.isEmpty()) {
            Expression expression = open.pop();
            if (seen.add(expression)) {
                most = expression.operator.cost(expression) > most.operator.cost(most) ? expression : most;
                expression.arguments.forEach(open::push);
            }
        }
        return most;
    }
}
