package tulipshed.expression;

/** Nodes that evaluate one of two operands. */
final class ConditionalNodes {
    private ConditionalNodes() {}

    /** Gives the value of the operand that it selects. */
    private abstract static class Selection extends EvaluationNode {
        /** Returns the operand that applies to the frame. */
        abstract EvaluationNode select(EvaluationFrame frame);

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            return select(frame).booleanValue(frame);
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            return select(frame).integerValue(frame);
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            return select(frame).decimalValue(frame);
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            return select(frame).stringValue(frame);
        }
    }

    /** An attribute's value, or a default where it is missing. */
    static final class Default extends Selection {
        private final EvaluationNode value;
        private final EvaluationNode defaultValue;

        Default(EvaluationNode value, EvaluationNode defaultValue) {
            this.value = value;
            this.defaultValue = defaultValue;
        }

        @Override
        EvaluationNode select(EvaluationFrame frame) {
            frame.spent++;
            return value.isPresent(frame) ? value : defaultValue;
        }
    }

    /** One of two values, by a condition. */
    static final class If extends Selection {
        private final EvaluationNode condition;
        private final EvaluationNode thenValue;
        private final EvaluationNode elseValue;

        If(EvaluationNode condition, EvaluationNode thenValue, EvaluationNode elseValue) {
            this.condition = condition;
            this.thenValue = thenValue;
            this.elseValue = elseValue;
        }

        @Override
        EvaluationNode select(EvaluationFrame frame) {
            frame.spent++;
            return condition.booleanValue(frame) ? thenValue : elseValue;
        }
    }
}
