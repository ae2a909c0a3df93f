package tulipshed.expression;

/** Literals, attributes, what is remembered, and logic. */
final class BasicNodes {
    private BasicNodes() {}

    static final class Literal extends EvaluationNode {
        private final boolean truth;
        private final long whole;
        private final double fraction;
        private final String text;

        Literal(Object value) {
            truth = Boolean.TRUE.equals(value);
            whole = value instanceof Long l ? l : 0;
            fraction = value instanceof Double d ? d : 0;
            text = value instanceof String s ? s : null;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return truth;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            return whole;
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            frame.spent++;
            return fraction;
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            frame.spent++;
            return text;
        }
    }

    static final class Get extends EvaluationNode {
        private final int slot;

        Get(Attribute a) {
            slot = a.slot();
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

    static final class Present extends EvaluationNode {
        private final int slot;

        Present(Attribute a) {
            slot = a.slot();
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return frame.present[slot];
        }
    }

    /** Gives what one of its parts gives. */
    private abstract static class Choice extends EvaluationNode {
        /** The part that counts for this transaction. */
        abstract EvaluationNode chosen(EvaluationFrame frame);

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            return chosen(frame).booleanValue(frame);
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            return chosen(frame).integerValue(frame);
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            return chosen(frame).decimalValue(frame);
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            return chosen(frame).stringValue(frame);
        }
    }

    static final class Default extends Choice {
        private final EvaluationNode value;
        private final EvaluationNode otherwise;

        Default(EvaluationNode value, EvaluationNode otherwise) {
            this.value = value;
            this.otherwise = otherwise;
        }

        @Override
        EvaluationNode chosen(EvaluationFrame frame) {
            frame.spent++;
            return value.isPresent(frame) ? value : otherwise;
        }
    }

    static final class If extends Choice {
        private final EvaluationNode test;
        private final EvaluationNode then;
        private final EvaluationNode otherwise;

        If(EvaluationNode test, EvaluationNode then, EvaluationNode otherwise) {
            this.test = test;
            this.then = then;
            this.otherwise = otherwise;
        }

        @Override
        EvaluationNode chosen(EvaluationFrame frame) {
            frame.spent++;
            return test.booleanValue(frame) ? then : otherwise;
        }
    }

    static final class Not extends EvaluationNode {
        private final EvaluationNode a;

        Not(EvaluationNode a) {
            this.a = a;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return !a.booleanValue(frame);
        }
    }

    /** All of its parts, or one of them; those after the first that decides are not asked. */
    static final class Join extends EvaluationNode {
        private final EvaluationNode[] parts;
        private final boolean ends;

        Join(EvaluationNode[] parts, boolean ends) {
            this.parts = parts;
            this.ends = ends;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            for (EvaluationNode n : parts) {
                if (n.booleanValue(frame) == ends) {
                    return ends;
                }
            }
            return !ends;
        }
    }

    /** Worked out at its first use in a transaction; a use of its own for each kind of value. */
    static final class Remembered extends EvaluationNode {
        private final EvaluationNode what;
        private final int at;

        Remembered(EvaluationNode what, int at) {
            this.what = what;
            this.at = at;
        }

        private boolean known(EvaluationFrame frame) {
            frame.spent++;
            return frame.cachedGenerations[at] == frame.generation;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            if (!known(frame)) {
                frame.cachedIntegers[at] = what.booleanValue(frame) ? 1 : 0;
                frame.cachedGenerations[at] = frame.generation;
            }
            return frame.cachedIntegers[at] != 0;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            if (!known(frame)) {
                frame.cachedIntegers[at] = what.integerValue(frame);
                frame.cachedGenerations[at] = frame.generation;
            }
            return frame.cachedIntegers[at];
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            if (!known(frame)) {
                frame.cachedDecimals[at] = what.decimalValue(frame);
                frame.cachedGenerations[at] = frame.generation;
            }
            return frame.cachedDecimals[at];
        }

        @Override
        CharSequence stringValue(EvaluationFrame frame) {
            if (!known(frame)) {
                frame.cachedStrings[at] = what.stringValue(frame);
                frame.cachedGenerations[at] = frame.generation;
            }
            return frame.cachedStrings[at];
        }
    }
}
