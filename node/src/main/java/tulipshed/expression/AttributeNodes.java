package tulipshed.expression;

/** Nodes that read the attributes of a frame. */
final class AttributeNodes {
    private AttributeNodes() {}

    /** Reads the value of an attribute. */
    static final class Read extends EvaluationNode {
        private final int slot;

        Read(Attribute attribute) {
            slot = attribute.slot();
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return frame.integers[slot] != 0;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            return frame.integers[slot];
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            frame.spent++;
            return frame.decimals[slot];
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            frame.spent++;
            return frame.strings[slot];
        }

        @Override
        long addressHighBits(EvaluationFrame frame) {
            return frame.addressHighBits[slot];
        }

        @Override
        boolean isPresent(EvaluationFrame frame) {
            return frame.present[slot];
        }
    }

    /** Whether an attribute has a value. */
    static final class IsPresent extends EvaluationNode {
        private final int slot;

        IsPresent(Attribute attribute) {
            slot = attribute.slot();
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return frame.present[slot];
        }
    }
}
