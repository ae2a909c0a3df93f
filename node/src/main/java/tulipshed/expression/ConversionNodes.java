package tulipshed.expression;

/** Conversions between the types. */
final class ConversionNodes {
    private ConversionNodes() {}

    /** Converts an integer to a decimal, or a decimal to an integer, rounding towards zero. */
    static final class Numeric extends EvaluationNode {
        private final EvaluationNode operand;

        Numeric(EvaluationNode operand) {
            this.operand = operand;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            return (long) operand.decimalValue(frame);
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            frame.spent++;
            return operand.integerValue(frame);
        }
    }

    /** Writes an integer in decimal digits. */
    static final class IntegerToString extends EvaluationNode {
        private final EvaluationNode operand;
        private final int buffer;

        IntegerToString(EvaluationNode operand, int buffer) {
            this.operand = operand;
            this.buffer = buffer;
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            ReusableStringBuffer result = frame.buffers[buffer].clear();
            result.append(operand.integerValue(frame));
            frame.spent += 1 + CostModel.units(result.length());
            return result;
        }
    }
}
