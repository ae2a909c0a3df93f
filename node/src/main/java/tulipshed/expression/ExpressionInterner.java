package tulipshed.expression;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.expression.Expression.Structure;
import tulipshed.sexpr.SourcePosition;

/** Makes checked expressions: simplified, with constants folded, and equal ones only once (hash consing). */
public final class ExpressionInterner {
    private final Map<Structure, Expression> interned = new HashMap<>();

    ExpressionInterner() {}

    /** Returns how many different expressions there are. */
    int size() {
        return interned.size();
    }

    /** Returns the placeholder of an expression in which an error has been reported. */
    Expression unknown(SourcePosition place) {
        return new Expression(-1, new Structure(Operator.LITERAL, Type.UNKNOWN, "", List.of()), 0, place);
    }

    /** Returns a literal: a Boolean, Long, Double or String. */
    Expression literal(Object value, SourcePosition place) {
        if (value instanceof String string) {
            return intern(literalOf(Type.STRING, string), string.length(), place);
        }
        if (value instanceof Double decimal) {
            // Adding 0.0 turns -0.0 into 0.0, which it is equal to.
            return intern(literalOf(Type.DECIMAL, decimal + 0.0), 0, place);
        }
        return intern(literalOf(value instanceof Boolean ? Type.BOOLEAN : Type.INTEGER, value), 0, place);
    }

    Expression attribute(Attribute attribute, SourcePosition place) {
        Structure structure = new Structure(Operator.ATTRIBUTE, attribute.type(), attribute, List.of());
        return intern(structure, attribute.maxLength(), place);
    }

    /** Returns the expression that tells whether an attribute has a value. */
    Expression present(Attribute attribute, SourcePosition place) {
        return intern(new Structure(Operator.PRESENT, Type.BOOLEAN, attribute, List.of()), 0, place);
    }

    /** Returns an operation that is defined by its arguments alone and gives no string. */
    Expression make(Operator operator, Type type, SourcePosition place, Expression... arguments) {
        return make(operator, type, null, 0, place, arguments);
    }

    /**
     * Returns an operation, simplified.
     *
     * @param constant what the operator needs besides its arguments, or null
     * @param maxLength the length at most of the string that it gives, in characters; 0 for other types
     */
    Expression make(
            Operator operator,
            Type type,
            Object constant,
            int maxLength,
            SourcePosition place,
            Expression... arguments) {
        List<Expression> operands = Arrays.asList(arguments);
        Expression simplified = simplify(operator, operands, place);
        if (simplified != null) {
            return simplified;
        }
        if (operator != Operator.DEFAULT
                && !operands.isEmpty()
                && operands.stream().allMatch(Expression::isLiteral)) {
            return literal(ConstantFolder.evaluate(operator, type, constant, operands, maxLength), place);
        }
        return intern(new Structure(operator, type, constant, List.copyOf(operands)), maxLength, place);
    }

    private static Structure literalOf(Type type, Object value) {
        return new Structure(Operator.LITERAL, type, value, List.of());
    }

    /** Returns an equal expression that is simpler, or null. */
    private Expression simplify(Operator operator, List<Expression> operands, SourcePosition place) {
        if (operator == Operator.AND || operator == Operator.OR) {
            return simplifyJunction(operator, operands, place);
        }
        if (operator == Operator.IF) {
            return simplifyIf(operands.get(0), operands.get(1), operands.get(2));
        }
        if (operator == Operator.NOT) {
            Expression operand = operands.get(0);
            return operand.operator == Operator.NOT ? operand.argument(0) : null;
        }
        return null;
    }

    private static Expression simplifyIf(Expression condition, Expression thenValue, Expression elseValue) {
        if (condition.isLiteral(true) || thenValue == elseValue) {
            return thenValue;
        }
        return condition.isLiteral(false) ? elseValue : null;
    }

    /** Flattens nested junctions, drops duplicates and neutral literals, and stops at a literal that decides. */
    private Expression simplifyJunction(Operator operator, List<Expression> operands, SourcePosition place) {
        boolean decidingValue = operator == Operator.OR;
        Set<Expression> distinct = new LinkedHashSet<>();
        for (Expression operand : operands) {
            for (Expression part : operand.operator == operator ? operand.arguments : List.of(operand)) {
                if (part.isLiteral(decidingValue)) {
                    return literal(decidingValue, place);
                }
                if (!part.isLiteral(!decidingValue)) {
                    distinct.add(part);
                }
            }
        }
        List<Expression> parts = List.copyOf(distinct);
        return switch (parts.size()) {
            case 0 -> literal(!decidingValue, place);
            case 1 -> parts.get(0);
            default -> intern(new Structure(operator, Type.BOOLEAN, null, parts), 0, place);
        };
    }

    private Expression intern(Structure structure, int maxLength, SourcePosition place) {
        Expression known = interned.get(structure);
        if (known != null) {
            return known;
        }
        Expression added = new Expression(interned.size(), structure, maxLength, place);
        interned.put(structure, added);
        for (Expression argument : structure.arguments()) {
            argument.referenceCount++;
        }
        return added;
    }
}
