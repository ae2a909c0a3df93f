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
        boolean truth(EvaluationFrame f) {
            f.spent++;
            return switch (type) {
                case BOOLEAN -> a.truth(f) == b.truth(f);
                case INTEGER -> a.whole(f) == b.whole(f);
                case DECIMAL -> a.fraction(f) == b.fraction(f);
                case ADDRESS -> a.high(f) == b.high(f) & a.whole(f) == b.whole(f);
                default -> {
                    CharSequence left = a.text(f);
                    CharSequence right = b.text(f);
                    f.spent += CostModel.units(Math.min(left.length(), right.length()));
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
        boolean truth(EvaluationFrame f) {
            f.spent++;
            if (fractions) {
                double left = a.fraction(f);
                double right = b.fraction(f);
                return orEqual ? left <= right : left < right;
            }
            long left = a.whole(f);
            long right = b.whole(f);
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
        long whole(EvaluationFrame f) {
            f.spent++;
            long left = a.whole(f);
            long right = b.whole(f);
            return switch (op) {
                case ADD -> Arithmetic.add(left, right);
                case SUBTRACT -> Arithmetic.subtract(left, right);
                case MULTIPLY -> Arithmetic.multiply(left, right);
                case LEAST -> Math.min(left, right);
                default -> Math.max(left, right);
            };
        }

        @Override
        double fraction(EvaluationFrame f) {
            f.spent++;
            double left = a.fraction(f);
            double right = b.fraction(f);
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
        long whole(EvaluationFrame f) {
            f.spent++;
            long divisor = b.whole(f);
            if (divisor == 0) {
                return otherwise.whole(f);
            }
            return modulo ? Arithmetic.modulo(a.whole(f), divisor) : Arithmetic.divide(a.whole(f), divisor);
        }

        @Override
        double fraction(EvaluationFrame f) {
            f.spent++;
            double divisor = b.fraction(f);
            return divisor == 0 ? otherwise.fraction(f) : a.fraction(f) / divisor;
        }
    }

    static final class Convert extends EvaluationNode {
        private final EvaluationNode a;

        Convert(EvaluationNode a) {
            this.a = a;
        }

        @Override
        long whole(EvaluationFrame f) {
            f.spent++;
            return (long) a.fraction(f);
        }

        @Override
        double fraction(EvaluationFrame f) {
            f.spent++;
            return a.whole(f);
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
        boolean truth(EvaluationFrame f) {
            f.spent++;
            return switch (set.type) {
                case STRING -> {
                    CharSequence s = a.text(f);
                    f.spent += 2 * CostModel.units(s.length());
                    yield set.has(s);
                }
                case DECIMAL -> set.has(LiteralSet.bits(a.fraction(f)));
                case BOOLEAN -> set.has(a.truth(f) ? 1 : 0);
                default -> set.has(a.whole(f));
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
        boolean truth(EvaluationFrame f) {
            f.spent += 1 + networks.list().size();
            return networks.contain(a.high(f), a.whole(f));
        }
    }
}
