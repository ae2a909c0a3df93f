package tulipshed.expression;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tulipshed.sexpr.SourcePosition;

/**
 * A checked expression: a node of a directed acyclic graph in which equal expressions are one object
 * ({@link ExpressionInterner}), so that a common subexpression is evaluated once.
 */
public final class Expression {
    final int id;
    final Operator operator;
    final Type type;

    /** Whether the value may be missing. */
    final boolean optional;

    /** What the operator needs besides its arguments: a literal's value, an attribute, a set, a pattern; or null. */
    final Object constant;

    final List<Expression> arguments;

    /** The length at most of a string, in characters. */
    final int maxLength;

    /** The number of levels. */
    final int depth;

    final SourcePosition place;

    /** How many expressions, rules and programs refer to it. */
    int referenceCount;

    /** What equal expressions have in common. */
    record Structure(Operator operator, Type type, Object constant, List<Expression> arguments) {}

    Expression(int id, Structure structure, int maxLength, SourcePosition place) {
        this.id = id;
        this.operator = structure.operator();
        this.type = structure.type();
        this.constant = structure.constant();
        this.arguments = structure.arguments();
        this.maxLength = maxLength;
        this.place = place;
        optional = operator == Operator.ATTRIBUTE && ((Attribute) constant).optional();
        int deepest = 0;
        for (Expression argument : arguments) {
            deepest = Math.max(deepest, argument.depth);
        }
        depth = deepest + 1;
    }

    /** Returns the type of the value. */
    public Type type() {
        return type;
    }

    /** Whether the value may be missing. */
    public boolean optional() {
        return optional;
    }

    /** Returns the length at most of a string, in characters. */
    public int maxLength() {
        return maxLength;
    }

    /** Returns the source position of its first occurrence. */
    public SourcePosition place() {
        return place;
    }

    /** Whether it reads the attribute of that name. */
    public boolean references(String attribute) {
        Set<Expression> seen = new HashSet<>();
        ArrayDeque<Expression> open = new ArrayDeque<>(List.of(this));
        while (!open.isEmpty()) {
            Expression expression = open.pop();
            if (expression.isAttributeAccess()
                    && ((Attribute) expression.constant).name().equals(attribute)) {
                return true;
            }
            expression.arguments.stream().filter(seen::add).forEach(open::push);
        }
        return false;
    }

    Expression argument(int index) {
        return arguments.get(index);
    }

    boolean isLiteral() {
        return operator == Operator.LITERAL;
    }

    boolean isLiteral(Object value) {
        return isLiteral() && constant.equals(value);
    }

    boolean isUnknown() {
        return type == Type.UNKNOWN;
    }

    static boolean anyUnknown(Expression... expressions) {
        for (Expression expression : expressions) {
            if (expression.isUnknown()) {
                return true;
            }
        }
        return false;
    }

    /** Whether it is evaluated at most once in a frame and read from a cache slot afterwards. */
    boolean isCached() {
        return referenceCount > 1 && !isLiteral() && !isAttributeAccess();
    }

    private boolean isAttributeAccess() {
        return operator == Operator.ATTRIBUTE || operator == Operator.PRESENT;
    }

    @Override
    public String toString() {
        return ExpressionFormatter.format(this);
    }
}
