package tulipshed.expression;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.sexpr.SourcePosition;

/** Makes checked expressions: equal ones once, and those that need no transaction worked out at once. */
public final class ExpressionInterner {
    private final Map<Key, Expression> made = new HashMap<>();

    private record Key(Operator op, Type type, Object literal, List<Expression> args) {}

    ExpressionInterner() {}

    /** What stands for an expression in which something is wrong. */
    Expression unknown(SourcePosition place) {
        return new Expression(-1, Operator.LITERAL, Type.UNKNOWN, false, "", List.of(), 0, place);
    }

    Expression literal(Object value, SourcePosition place) {
        Type type = value instanceof Boolean
                ? Type.BOOLEAN
                : value instanceof Long ? Type.INTEGER : value instanceof Double ? Type.DECIMAL : Type.STRING;
        Object kept = value instanceof Double d ? (Object) (d + 0.0) : value; // there is one 0.0
        return intern(
                Operator.LITERAL, type, false, kept, List.of(), value instanceof String s ? s.length() : 0, place);
    }

    Expression attribute(Attribute a, SourcePosition place) {
        return intern(Operator.ATTRIBUTE, a.type(), a.optional(), a, List.of(), a.longest(), place);
    }

    Expression present(Attribute a, SourcePosition place) {
        return intern(Operator.PRESENT, Type.BOOLEAN, false, a, List.of(), 0, place);
    }

    Expression make(Operator op, Type type, SourcePosition place, Expression... args) {
        return make(op, type, null, 0, place, args);
    }

    /** One with something beside its parts: a set, a pattern, a count; and how long a string it may give. */
    Expression make(Operator op, Type type, Object literal, int longest, SourcePosition place, Expression... args) {
        List<Expression> parts = Arrays.asList(args);
        Expression simpler = simpler(op, parts, place);
        if (simpler != null) {
            return simpler;
        }
        boolean constants =
                op != Operator.DEFAULT && !parts.isEmpty() && parts.stream().allMatch(Expression::isLiteral);
        if (constants) {
            Expression whole = new Expression(-1, op, type, false, literal, parts, longest, place);
            return literal(value(whole), place);
        }
        return intern(op, type, false, literal, parts, longest, place);
    }

    /** What an expression without attributes gives. */
    private Object value(Expression e) {
        Program.Builder builder = new Program.Builder(new Schema());
        EvaluationNode node = builder.node(e);
        EvaluationFrame constant = builder.build().frame();
        constant.begin();
        return switch (e.type) {
            case BOOLEAN -> node.booleanValue(constant);
            case INTEGER -> node.integerValue(constant);
            case DECIMAL -> node.decimalValue(constant);
            default -> node.stringValue(constant).toString();
        };
    }

    private Expression simpler(Operator op, List<Expression> args, SourcePosition place) {
        switch (op) {
            case AND, OR -> {
                return join(op, args, place);
            }
            case IF -> {
                Expression test = args.get(0);
                return test.is(true) || args.get(1) == args.get(2) ? args.get(1) : test.is(false) ? args.get(2) : null;
            }
            case NOT -> {
                Expression a = args.get(0);
                return a.op == Operator.NOT ? a.args.get(0) : null;
            }
            default -> {
                return null;
            }
        }
    }

    /** All of, or one of: nested ones in one, repeated ones once, literals left out. */
    private Expression join(Operator op, List<Expression> args, SourcePosition place) {
        boolean ends = op == Operator.OR;
        Set<Expression> distinct = new LinkedHashSet<>();
        for (Expression a : args) {
            for (Expression part : a.op == op ? a.args : List.of(a)) {
                if (part.is(ends)) {
                    return literal(ends, place);
                }
                if (!part.is(!ends)) {
                    distinct.add(part);
                }
            }
        }
        List<Expression> parts = List.copyOf(distinct);
        return parts.isEmpty()
                ? literal(!ends, place)
                : parts.size() == 1
                        ? parts.get(0)
                        : intern(op, Type.BOOLEAN, false, null, List.copyOf(parts), 0, place);
    }

    private Expression intern(
            Operator op,
            Type type,
            boolean optional,
            Object literal,
            List<Expression> args,
            int longest,
            SourcePosition place) {
        Key key = new Key(op, type, literal, List.copyOf(args));
        Expression known = made.get(key);
        if (known == null) {
            known = new Expression(made.size(), op, type, optional, literal, key.args(), longest, place);
            made.put(key, known);
            for (Expression a : args) {
                a.uses++;
            }
        }
        return known;
    }

    /** How many different expressions there are. */
    int size() {
        return made.size();
    }
}
