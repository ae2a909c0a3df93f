package tulipshed.expression;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What an expression may cost at most, known before any transaction comes. The unit is about one comparison, or 16
 * characters looked at. One that is remembered counts once, and one unit for each further use.
 */
public final class CostModel {
    /** Longest text that an expression may make, in characters. */
    public static final int LONGEST_TEXT = 4096;

    static final int BUCKET = 8; // jump-back hashing: a few draws whatever the number of shares, on average

    private final Map<Expression, Long> tree = new HashMap<>();

    /** Units for looking at that many characters. */
    static long units(long characters) {
        return (characters + 15) / 16;
    }

    /** The bound for one expression, all that it refers to included. */
    public long bound(Expression root) {
        return bound(root, new HashSet<>());
    }

    /** The bound for one expression, less the bodies of those that are in {@code counted}, which grows. */
    long bound(Expression root, Set<Expression> counted) {
        long sum = reference(root);
        // The bodies of all that is remembered: each once.
        ArrayDeque<Expression> open = new ArrayDeque<>();
        Set<Expression> seen = new HashSet<>();
        open.push(root);
        while (!open.isEmpty()) {
            Expression e = open.pop();
            if (!seen.add(e)) {
                continue;
            }
            if (e.remembered() && counted.add(e)) {
                sum = Arithmetic.add(sum, body(e));
            }
            e.args.forEach(open::push);
        }
        return sum;
    }

    private long reference(Expression e) {
        return e.remembered() ? 1 : body(e);
    }

    /** Of the expression itself and what hangs below it, remembered ones as one unit each. */
    private long body(Expression e) {
        Long known = tree.get(e);
        if (known != null) {
            return known;
        }
        long sum = own(e);
        if (e.op == Operator.IF) {
            sum = Arithmetic.add(sum, below(e.args.get(0)));
            sum = Arithmetic.add(sum, Math.max(below(e.args.get(1)), below(e.args.get(2))));
        } else {
            for (Expression a : e.args) {
                sum = Arithmetic.add(sum, below(a));
            }
        }
        tree.put(e, sum);
        return sum;
    }

    private long below(Expression e) {
        return e.remembered() ? 1 : body(e);
    }

    /** What it adds to what its parts cost. */
    static long own(Expression e) {
        return 1
                + switch (e.op) {
                    case EQUAL ->
                        e.args.get(0).type == Type.STRING
                                ? units(Math.min(e.args.get(0).longest, e.args.get(1).longest))
                                : 0;
                    case IN -> e.args.get(0).type == Type.STRING ? 2 * units(e.args.get(0).longest) : 0;
                    case PREFIX, SUFFIX -> units(Math.min(e.args.get(0).longest, e.args.get(1).longest));
                    case CONTAINS -> units((long) e.args.get(0).longest * e.args.get(1).longest);
                    case SUBSTRING, CONCAT, LOWER, TO_STRING -> units(e.longest);
                    case MATCHES -> units((long) (e.args.get(0).longest + 1) * ((Matching) e.literal).size());
                    case IN_NETWORK -> ((Networks) e.literal).list().size();
                    case HASH -> units(e.args.get(0).longest);
                    case BUCKET -> units(e.args.get(0).longest) + BUCKET;
                    default -> 0;
                };
    }

    /** The part of an expression that adds most: what to look at where the whole is too dear. */
    public static Expression dearest(Expression root) {
        Expression most = root;
        Set<Expression> seen = new HashSet<>();
        ArrayDeque<Expression> open = new ArrayDeque<>();
        open.push(root);
        while (!open.isEmpty()) {
            Expression e = open.pop();
            if (seen.add(e)) {
                most = own(e) > own(most) ? e : most;
                e.args.forEach(open::push);
            }
        }
        return most;
    }
}
