package tulipshed.expression;

/** Membership of a value in a constant set. */
final class MembershipNodes {
    private MembershipNodes() {}

    /** Whether a value is one of a set of literals. */
    static final class InLiterals extends EvaluationNode {
        private final EvaluationNode operand;
        private final LiteralSet literals;

        InLiterals(EvaluationNode operand, LiteralSet literals) {
            this.operand = operand;
            this.literals = literals;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return switch (literals.type) {
                case STRING -> {
                    CharSequence string = operand.stringValue(frame);
                    frame.spent += 2 * CostModel.units(string.length());
                    yield literals.contains(string);
                }
                case DECIMAL -> literals.contains(LiteralSet.encode(operand.decimalValue(frame)));
                case BOOLEAN -> literals.contains(operand.booleanValue(frame) ? 1 : 0);
                default -> literals.contains(operand.integerValue(frame));
            };
        }
    }

    /** Whether an address is in one of a list of networks. */
    static final class InNetworks extends EvaluationNode {
        private final EvaluationNode operand;
        private final NetworkSet networks;

        InNetworks(EvaluationNode operand, NetworkSet networks) {
            this.operand = operand;
            this.networks = networks;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent += 1 + networks.networks().size();
            return networks.contains(operand.addressHighBits(frame), operand.integerValue(frame));
        }
    }
}
