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
        boolean truth(EvaluationFrame f) {
            f.spent++;
            return truth;
        }

        @Override
        long whole(EvaluationFrame f) {
            f.spent++;
            return whole;
        }

        @Override
        double fraction(EvaluationFrame f) {
            f.spent++;
            return fraction;
        }

        @Override
        CharSequence text(EvaluationFrame f) {
            f.spent++;
            return text;
        }
    }

    static final class Get extends EvaluationNode {
        private final int slot;

        Get(Attribute a) {
            slot = a.slot();
        }

        @Override
        boolean truth(EvaluationFrame f) {
            f.spent++;
            return f.whole[slot] != 0;
        }

        @Override
        long whole(EvaluationFrame f) {
            f.spent++;
            return f.whole[slot];
        }

        @Override
        double fraction(EvaluationFrame f) {
            f.spent++;
            return f.fraction[slot];
        }

        @Override
        CharSequence text(EvaluationFrame f) {
            f.spent++;
            return f.text[slot];
        }

        @Override
        long high(EvaluationFrame f) {
            return f.high[slot];
        }

        @Override
        boolean present(EvaluationFrame f) {
            return f.present[slot];
        }
    }

    static final class Present extends EvaluationNode {
        private final int slot;

        Present(Attribute a) {
            slot = a.slot();
        }

        @Override
        boolean truth(EvaluationFrame f) {
            f.spent++;
            return f.present[slot];
        }
    }

    /** Gives what one of its parts gives. */
    private abstract static class Choice extends EvaluationNode {
        /** The part that counts for this transaction. */
        abstract EvaluationNode chosen(EvaluationFrame f);

        @Override
        boolean truth(EvaluationFrame f) {
            return chosen(f).truth(f);
        }

        @Override
        long whole(EvaluationFrame f) {
            return chosen(f).whole(f);
        }

        @Override
        double fraction(EvaluationFrame f) {
            return chosen(f).fraction(f);
        }

        @Override
        CharSequence text(EvaluationFrame f) {
            return chosen(f).text(f);
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
        EvaluationNode chosen(EvaluationFrame f) {
            f.spent++;
            return value.present(f) ? value : otherwise;
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
        EvaluationNode chosen(EvaluationFrame f) {
            f.spent++;
            return test.truth(f) ? then : otherwise;
        }
    }

    static final class Not extends EvaluationNode {
        private final EvaluationNode a;

        Not(EvaluationNode a) {
            this.a = a;
        }

        @Override
        boolean truth(EvaluationFrame f) {
            f.spent++;
            return !a.truth(f);
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
        boolean truth(EvaluationFrame f) {
            f.spent++;
            for (EvaluationNode n : parts) {
                if (n.truth(f) == ends) {
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

        private boolean known(EvaluationFrame f) {
            f.spent++;
            return f.rememberedAt[at] == f.generation;
        }

        @Override
        boolean truth(EvaluationFrame f) {
            if (!known(f)) {
                f.rememberedWhole[at] = what.truth(f) ? 1 : 0;
                f.rememberedAt[at] = f.generation;
            }
            return f.rememberedWhole[at] != 0;
        }

        @Override
        long whole(EvaluationFrame f) {
            if (!known(f)) {
                f.rememberedWhole[at] = what.whole(f);
                f.rememberedAt[at] = f.generation;
            }
            return f.rememberedWhole[at];
        }

        @Override
        double fraction(EvaluationFrame f) {
            if (!known(f)) {
                f.rememberedFraction[at] = what.fraction(f);
                f.rememberedAt[at] = f.generation;
            }
            return f.rememberedFraction[at];
        }

        @Override
        CharSequence text(EvaluationFrame f) {
            if (!known(f)) {
                f.rememberedText[at] = what.text(f);
                f.rememberedAt[at] = f.generation;
            }
            return f.rememberedText[at];
        }
    }
}
