package tulipshed.expression;

/** Comparison and arithmetic. */
final class NumberNodes {
    private NumberNodes() {}

    static final class Equal extends Node {
        private final Type type;
        private final Node a;
        private final Node b;

        Equal(Type type, Node a, Node b) {
            this.type = type;
            this.a = a;
            this.b = b;
        }

        @SuppressWarnings("ShortCircuitBoolean") // both halves are evaluated, so that each counts its cost
        @Override
        boolean truth(Frame f) {
            f.spent++;
            return switch (type) {
                case BOOLEAN -> a.truth(f) == b.truth(f);
                case INTEGER -> a.whole(f) == b.whole(f);
                case DECIMAL -> a.fraction(f) == b.fraction(f);
                case ADDRESS -> a.high(f) == b.high(f) & a.whole(f) == b.whole(f);
                default -> {
                    CharSequence left = a.text(f);
                    CharSequence right = b.text(f);
                    f.spent += Cost.units(Math.min(left.length(), right.length()));
                    yield Texts.equal(left, right);
                }
            };
        }
    }

    static final class Less extends Node {
        private final boolean orEqual;
        private final boolean fractions;
        private final Node a;
        private final Node b;

        Less(boolean orEqual, boolean fractions, Node a, Node b) {
            this.orEqual = orEqual;
            this.fractions = fractions;
            this.a = a;
            this.b = b;
        }

        @Override
        boolean truth(Frame f) {
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
    static final class Two extends Node {
        private final Op op;
        private final Node a;
        private final Node b;

        Two(Op op, Node a, Node b) {
            this.op = op;
            this.a = a;
            this.b = b;
        }

        @Override
        long whole(Frame f) {
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
        double fraction(Frame f) {
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
    static final class Divide extends Node {
        private final boolean modulo;
        private final Node a;
        private final Node b;
        private final Node otherwise;

        Divide(boolean modulo, Node a, Node b, Node otherwise) {
            this.modulo = modulo;
            this.a = a;
            this.b = b;
            this.otherwise = otherwise;
        }

        @Override
        long whole(Frame f) {
            f.spent++;
            long divisor = b.whole(f);
            if (divisor == 0) {
                return otherwise.whole(f);
            }
            return modulo ? Arithmetic.modulo(a.whole(f), divisor) : Arithmetic.divide(a.whole(f), divisor);
        }

        @Override
        double fraction(Frame f) {
            f.spent++;
            double divisor = b.fraction(f);
            return divisor == 0 ? otherwise.fraction(f) : a.fraction(f) / divisor;
        }
    }

    static final class Convert extends Node {
        private final Node a;

        Convert(Node a) {
            this.a = a;
        }

        @Override
        long whole(Frame f) {
            f.spent++;
            return (long) a.fraction(f);
        }

        @Override
        double fraction(Frame f) {
            f.spent++;
            return a.whole(f);
        }
    }

    static final class In extends Node {
        private final Node a;
        private final LiteralSet set;

        In(Node a, LiteralSet set) {
            this.a = a;
            this.set = set;
        }

        @Override
        boolean truth(Frame f) {
            f.spent++;
            return switch (set.type) {
                case STRING -> {
                    CharSequence s = a.text(f);
                    f.spent += 2 * Cost.units(s.length());
                    yield set.has(s);
                }
                case DECIMAL -> set.has(LiteralSet.bits(a.fraction(f)));
                case BOOLEAN -> set.has(a.truth(f) ? 1 : 0);
                default -> set.has(a.whole(f));
            };
        }
    }

    static final class InNetwork extends Node {
        private final Node a;
        private final Networks networks;

        InNetwork(Node a, Networks networks) {
            this.a = a;
            this.networks = networks;
        }

        @Override
        boolean truth(Frame f) {
            f.spent += 1 + networks.list().size();
            return networks.contain(a.high(f), a.whole(f));
        }
    }
}
