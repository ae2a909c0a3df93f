package tulipshed.expression;

/** Arithmetic on two numbers of one type. */
final class ArithmeticNodes {
    private ArithmeticNodes() {}

    /** An operation that has a result for all operands. */
    enum Operation {
        ADD,
        SUBTRACT,
        MULTIPLY,
        MINIMUM,
        MAXIMUM
    }

    /** The result of an {@link Operation}. */
    static final class Binary extends EvaluationNode {
        private final Operation operation;
        private final EvaluationNode left;
        private final EvaluationNode right;

        Binary(Operation operation, EvaluationNode left, EvaluationNode right) {
            this.operation = operation;
            this.left = left;
            this.right = right;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            long leftValue = left.integerValue(frame);
            long rightValue = right.integerValue(frame);
            return switch (operation) {
                case ADD -> SaturatingMath.add(leftValue, rightValue);
                case SUBTRACT -> SaturatingMath.subtract(leftValue, rightValue);
                case MULTIPLY -> SaturatingMath.multiply(leftValue, rightValue);
                case MINIMUM -> Math.min(leftValue, rightValue);
                default -> Math.max(leftValue, rightValue);
            };
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            frame.spent++;
            double leftValue = left.decimalValue(frame);
            double rightValue = right.decimalValue(frame);
            return switch (operation) {
                case ADD -> leftValue + rightValue;
                case SUBTRACT -> leftValue - rightValue;
                case MULTIPLY -> leftValue * rightValue;
                case MINIMUM -> Math.min(leftValue, rightValue);
                default -> Math.max(leftValue, rightValue);
            };
        }
    }

    /** A quotient or a remainder; the third operand is the result where the divisor is 0. */
    static final class Divide extends EvaluationNode {
        private final boolean modulo;
        private final EvaluationNode dividend;
        private final EvaluationNode divisor;
        private final EvaluationNode resultForZero;

        Divide(boolean modulo, EvaluationNode dividend, EvaluationNode divisor, EvaluationNode resultForZero) {
            this.modulo = modulo;
            this.dividend = dividend;
            this.divisor = divisor;
            this.resultForZero = resultForZero;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            long divisorValue = divisor.integerValue(frame);
            if (divisorValue == 0) {
                return resultForZero.integerValue(frame);
            }
            return modulo
                    ? SaturatingMath.modulo(dividend.integerValue(frame), divisorValue)
                    : SaturatingMath.divide(dividend.integerValue(frame), divisorValue);
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            frame.spent++;
            double divisorValue = divisor.decimalValue(frame);
            return divisorValue == 0 ? resultForZero.decimalValue(frame) : dividend.decimalValue(frame) / divisorValue;
        }
    }
}
