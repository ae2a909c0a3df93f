package tulipshed.expression;

/** Writes an expression for diagnostics, abridged: shared parts make the full text grow without bound. */
final class ExpressionFormatter {
    private static final int MAX_DEPTH = 8;
    private static final int MAX_LENGTH = 300; // characters after which further parts are left out
    private static final int MAX_CONSTANT_LENGTH = 60; // characters

    private final StringBuilder out = new StringBuilder();

    private ExpressionFormatter() {}

    static String format(Expression expression) {
        ExpressionFormatter formatter = new ExpressionFormatter();
        formatter.append(expression, MAX_DEPTH);
        return formatter.out.toString();
    }

    private void append(Expression expression, int depthLeft) {
        if (expression.operator == Operator.LITERAL) {
            appendLiteral(expression);
        } else if (expression.operator == Operator.ATTRIBUTE) {
            appendAttribute(expression);
        } else if (depthLeft == 0 || out.length() > MAX_LENGTH) {
            out.append("...");
        } else {
            appendCall(expression, depthLeft);
        }
    }

    private void appendLiteral(Expression literal) {
        if (literal.type == Type.STRING) {
            out.append('"').append(literal.constant).append('"');
        } else {
            out.append(literal.constant);
        }
    }

    private void appendAttribute(Expression attribute) {
        out.append(((Attribute) attribute.constant).name());
    }

    private void appendCall(Expression call, int depthLeft) {
        out.append('(').append(call.operator.symbol);
        if (call.operator == Operator.PRESENT) {
            out.append(' ');
            appendAttribute(call);
        }
        for (Expression argument : call.arguments) {
            if (out.length() > MAX_LENGTH) {
                out.append(" ...");
                break;
            }
            out.append(' ');
            append(argument, depthLeft - 1);
        }
        if (call.constant != null && call.operator != Operator.PRESENT) {
            out.append(' ').append(abridge(String.valueOf(call.constant)));
        }
        out.append(')');
    }

    private static String abridge(String text) {
        return text.length() > MAX_CONSTANT_LENGTH ? text.substring(0, MAX_CONSTANT_LENGTH - 3) + "..." : text;
    }
}
