package tulipshed.expression;

/** Boolean operators. */
final class LogicNodes {
    private LogicNodes() {}

    /** Negation. */
    static final class Not extends EvaluationNode {
        private final EvaluationNode operand;

        Not(EvaluationNode operand) {
            this.operand = operand;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return !operand.booleanValue(frame);
        }
    }

    /** Conjunction or disjunction with short-circuit evaluation. */
    static final class Junction extends EvaluationNode {
        private final EvaluationNode[] operands;
        private final boolean decidingValue;

        /** A conjunction is decided by the first operand that is false, a disjunction by the first that is true. */
        Junction(EvaluationNode[] operands, boolean decidingValue) {
            this.operands = operands;
            this.decidingValue = decidingValue;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            for (EvaluationNode operand : operands) {
                if (operand.booleanValue(frame) == decidingValue) {
                    return decidingValue;
                }
            }
            return !decidingValue;
        }
    }
}
