package tulipshed.expression;

/** Equality and order of two operands of one type. */
final class ComparisonNodes {
    private ComparisonNodes() {}

    /** Equality. */
    static final class Equal extends EvaluationNode {
        private final Type type;
        private final EvaluationNode left;
        private final EvaluationNode right;

        Equal(Type type, EvaluationNode left, EvaluationNode right) {
            this.type = type;
            this.left = left;
            this.right = right;
        }

        @SuppressWarnings("ShortCircuitBoolean") // both halves are evaluated, so that each counts its cost
        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return switch (type) {
                case BOOLEAN -> left.booleanValue(frame) == right.booleanValue(frame);
                case INTEGER -> left.integerValue(frame) == right.integerValue(frame);
                case DECIMAL -> left.decimalValue(frame) == right.decimalValue(frame);
                case ADDRESS ->
                    left.addressHighBits(frame) == right.addressHighBits(frame)
                            & left.integerValue(frame) == right.integerValue(frame);
                default -> stringsEqual(frame);
            };
        }

        private boolean stringsEqual(EvaluationFrame frame) {
            CharSequence leftString = left.stringValue(frame);
            CharSequence rightString = right.stringValue(frame);
            frame.spent += CostModel.units(Math.min(leftString.length(), rightString.length()));
            return CharSequences.equal(leftString, rightString);
        }
    }

    /** Whether one number is less than another, or less than or equal to it. */
    static final class Less extends EvaluationNode {
        private final boolean orEqual;
        private final boolean decimals;
        private final EvaluationNode left;
        private final EvaluationNode right;

        Less(boolean orEqual, boolean decimals, EvaluationNode left, EvaluationNode right) {
            this.orEqual = orEqual;
            this.decimals = decimals;
            this.left = left;
            this.right = right;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            if (decimals) {
                double leftDecimal = left.decimalValue(frame);
                double rightDecimal = right.decimalValue(frame);
                return orEqual ? leftDecimal <= rightDecimal : leftDecimal < rightDecimal;
            }
            long leftInteger = left.integerValue(frame);
            long rightInteger = right.integerValue(frame);
            return orEqual ? leftInteger <= rightInteger : leftInteger < rightInteger;
        }
    }
}
