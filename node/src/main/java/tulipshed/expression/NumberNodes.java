package tulipshed.expression;

/** Comparison and arithmetic. */
final class NumberNodes {
    private NumberNodes() {}

    static final class Equal extends EvaluationNode {
        private final Type type;
        private final EvaluationNode a;
        private final EvaluationNode b;

        Equal(Type type, EvaluationNode a, EvaluationNode b) {
            this.type = type;
            this.a = a;
            this.b = b;
        }

        @SuppressWarnings("ShortCircuitBoolean") // both halves are evaluated, so that each counts its cost
        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return switch (type) {
                case BOOLEAN -> a.booleanValue(frame) == b.booleanValue(frame);
                case INTEGER -> a.integerValue(frame) == b.integerValue(frame);
                case DECIMAL -> a.decimalValue(frame) == b.decimalValue(frame);
                case ADDRESS ->
                    a.addressHighBits(frame) == b.addressHighBits(frame)
                            & a.integerValue(frame) == b.integerValue(frame);
                default -> {
                    CharSequence left = a.stringValue(frame);
                    CharSequence right = b.stringValue(frame);
                    frame.spent += CostModel.units(Math.min(left.length(), right.length()));
                    yield CharSequences.equal(left, right);
                }
            };
        }
    }

    static final class Less extends EvaluationNode {
        private final boolean orEqual;
        private final boolean fractions;
        private final EvaluationNode a;
        private final EvaluationNode b;

        Less(boolean orEqual, boolean fractions, EvaluationNode a, EvaluationNode b) {
            this.orEqual = orEqual;
            this.fractions = fractions;
            this.a = a;
            this.b = b;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            if (fractions) {
                double left = a.decimalValue(frame);
                double right = b.decimalValue(frame);
                return orEqual ? left <= right : left < right;
            }
            long left = a.integerValue(frame);
            long right = b.integerValue(frame);
            return orEqual ? left <= right : left < right;
        }
    }

    /** Of two numbers of one type. */
    static final class Two extends EvaluationNode {
        private final Operator op;
        private final EvaluationNode a;
        private final EvaluationNode b;

        Two(Operator op, EvaluationNode a, EvaluationNode b) {
            this.op = op;
            this.a = a;
            this.b = b;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            long left = a.integerValue(frame);
            long right = b.integerValue(frame);
            return switch (op) {
                case ADD -> Arithmetic.add(left, right);
                case SUBTRACT -> Arithmetic.subtract(left, right);
                case MULTIPLY -> Arithmetic.multiply(left, right);
                case LEAST -> Math.min(left, right);
                default -> Math.max(left, right);
            };
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            frame.spent++;
            double left = a.decimalValue(frame);
            double right = b.decimalValue(frame);
            return switch (op) {
                case ADD -> left + right;
                case SUBTRACT -> left - right;
                case MULTIPLY -> left * right;
                case LEAST -> Math.min(left, right);
                default -> Math.max(left, right);
            };
        }
    }

    /** Division, or what is left of it; the third part is what holds where the divisor is 0. */
    static final class Divide extends EvaluationNode {
        private final boolean modulo;
        private final EvaluationNode a;
        private final EvaluationNode b;
        private final EvaluationNode otherwise;

        Divide(boolean modulo, EvaluationNode a, EvaluationNode b, EvaluationNode otherwise) {
            this.modulo = modulo;
            this.a = a;
            this.b = b;
            this.otherwise = otherwise;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            long divisor = b.integerValue(frame);
            if (divisor == 0) {
                return otherwise.integerValue(frame);
            }
            return modulo
                    ? Arithmetic.modulo(a.integerValue(frame), divisor)
                    : Arithmetic.divide(a.integerValue(frame), divisor);
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            frame.spent++;
            double divisor = b.decimalValue(frame);
            return divisor == 0 ? otherwise.decimalValue(frame) : a.decimalValue(frame) / divisor;
        }
    }

    static final class Convert extends EvaluationNode {
        private final EvaluationNode a;

        Convert(EvaluationNode a) {
            this.a = a;
        }

        @Override
        long integerValue(EvaluationFrame frame) {
            frame.spent++;
            return (long) a.decimalValue(frame);
        }

        @Override
        double decimalValue(EvaluationFrame frame) {
            frame.spent++;
            return a.integerValue(frame);
        }
    }

    static final class In extends EvaluationNode {
        private final EvaluationNode a;
        private final LiteralSet set;

        In(EvaluationNode a, LiteralSet set) {
            this.a = a;
            this.set = set;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent++;
            return switch (set.type) {
                case STRING -> {
                    CharSequence s = a.stringValue(frame);
                    frame.spent += 2 * CostModel.units(s.length());
                    yield set.has(s);
                }
                case DECIMAL -> set.has(LiteralSet.bits(a.decimalValue(frame)));
                case BOOLEAN -> set.has(a.booleanValue(frame) ? 1 : 0);
                default -> set.has(a.integerValue(frame));
            };
        }
    }

    static final class InNetwork extends EvaluationNode {
        private final EvaluationNode a;
        private final Networks networks;

        InNetwork(EvaluationNode a, Networks networks) {
            this.a = a;
            this.networks = networks;
        }

        @Override
        boolean booleanValue(EvaluationFrame frame) {
            frame.spent += 1 + networks.list().size();
            return networks.contain(a.addressHighBits(frame), a.integerValue(frame));
        }
    }
}
