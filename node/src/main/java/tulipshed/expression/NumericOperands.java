package tulipshed.expression;

/** Two numbers of one type. */
record NumericOperands(Expression left, Expression right) {
    Type type() {
        return left.type;
    }

    /** Converts two expressions to numbers of one type; null, with an error reported, where they are not. */
    static NumericOperands of(FunctionCall call, Expression first, Expression second) {
        Expression left = call.inference().convert(first, second.type);
        Expression right = call.inference().convert(second, first.type);
        if (Expression.anyUnknown(left, right)) {
            return null;
        }
        if (left.type != right.type || !left.type.isNumeric()) {
            boolean mixed = left.type.isNumeric() && right.type.isNumeric();
            call.error("expected two integers or two decimals, found " + left.type.withArticle() + " and "
                    + right.type.withArticle() + (mixed ? "; (decimal X) makes an integer one" : ""));
            return null;
        }
        return new NumericOperands(left, right);
    }
}
