package tulipshed.expression;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tulipshed.sexpr.SourcePosition;

/**
 * A checked expression. Equal ones are one object ({@link ExpressionInterner} sees to that), so one that stands in many rules can be
 * worked out once for a transaction.
 */
public final class Expression {
    private static final int LONGEST_SHOWN =
            300; // characters after which the rest is left out: parts may be shared a lot

    final int id;
    final Operator op;
    final Type type;
    final boolean optional;
    final Object literal;
    final List<Expression> args;
    /** Of a string: characters at most. */
    final int longest;

    final int depth;
    final SourcePosition place;
    /** How many expressions and rules it stands in. */
    int uses;

    Expression(
            int id,
            Operator op,
            Type type,
            boolean optional,
            Object literal,
            List<Expression> args,
            int longest,
            SourcePosition place) {
        this.id = id;
        this.op = op;
        this.type = type;
        this.optional = optional;
        this.literal = literal;
        this.args = args;
        this.longest = longest;
        this.place = place;
        int deepest = 0;
        for (Expression a : args) {
            deepest = Math.max(deepest, a.depth);
        }
        this.depth = deepest + 1;
    }

    /** What it gives. */
    public Type type() {
        return type;
    }

    /** Whether it may be missing. */
    public boolean optional() {
        return optional;
    }

    /** Of a string: characters at most. */
    public int longest() {
        return longest;
    }

    /** Where it was first written. */
    public SourcePosition place() {
        return place;
    }

    /** Whether it asks for the attribute of that name. */
    public boolean asks(String attribute) {
        Set<Expression> seen = new HashSet<>();
        ArrayDeque<Expression> open = new ArrayDeque<>(List.of(this));
        while (!open.isEmpty()) {
            Expression e = open.pop();
            if ((e.op == Operator.ATTRIBUTE || e.op == Operator.PRESENT)
                    && ((Attribute) e.literal).name().equals(attribute)) {
                return true;
            }
            e.args.stream().filter(seen::add).forEach(open::push);
        }
        return false;
    }

    boolean isLiteral() {
        return op == Operator.LITERAL;
    }

    boolean is(Object value) {
        return op == Operator.LITERAL && literal.equals(value);
    }

    boolean unknown() {
        return type == Type.UNKNOWN;
    }

    /** Whether it is worked out at most once for a transaction and then remembered. */
    boolean remembered() {
        return uses > 1 && op != Operator.LITERAL && op != Operator.ATTRIBUTE && op != Operator.PRESENT;
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        write(out, 8);
        return out.toString();
    }

    private void write(StringBuilder out, int depthLeft) {
        if (op == Operator.LITERAL) {
            out.append(type == Type.STRING ? "\"" + literal + "\"" : String.valueOf(literal));
        } else if (op == Operator.ATTRIBUTE) {
            out.append(((Attribute) literal).name());
        } else if (depthLeft == 0 || out.length() > LONGEST_SHOWN) {
            out.append("...");
        } else {
            out.append('(').append(op.written);
            if (op == Operator.PRESENT) {
                out.append(' ').append(((Attribute) literal).name());
            }
            for (Expression a : args) {
                if (out.length() > LONGEST_SHOWN) {
                    out.append(" ...");
                    break;
                }
                out.append(' ');
                a.write(out, depthLeft - 1);
            }
            if (literal != null && op != Operator.PRESENT) {
                String text = String.valueOf(literal);
                out.append(' ').append(text.length() > 60 ? text.substring(0, 57) + "..." : text);
            }
            out.append(')');
        }
    }
}
