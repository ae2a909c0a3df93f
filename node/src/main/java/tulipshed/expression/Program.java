package tulipshed.expression;

import java.util.ArrayList;
import java.util.List;

/**
 * The expressions over one schema, compiled together so that common subexpressions are evaluated once. Immutable once
 * it is built; each thread needs an {@link EvaluationFrame} of its own.
 */
public final class Program {
    private final int attributes;
    private final FrameLayout layout;

    private Program(int attributes, FrameLayout layout) {
        this.attributes = attributes;
        this.layout = layout;
    }

    /** Returns a new frame, which holds the attributes of one request or endpoint at a time. */
    public EvaluationFrame frame() {
        return layout.newFrame(attributes);
    }

    /** Collects expressions and rule tables, then compiles all of them. */
    public static final class Builder {
        private final Schema schema;
        private final ExpressionCompiler compiler = new ExpressionCompiler();
        private final List<Value> values = new ArrayList<>();
        private final List<RuleTable> tables = new ArrayList<>();

        /** Creates a builder of a program over the attributes of this schema. */
        public Builder(Schema schema) {
            this.schema = schema;
        }

        /** Adds an expression to evaluate. */
        public Value value(Expression expression) {
            expression.referenceCount++;
            Value value = new Value(expression);
            values.add(value);
            return value;
        }

        /** Adds a table of rules, given by their conditions in order. */
        public RuleTable table(List<Expression> conditions, ExpressionInterner interner) {
            RuleTable table = new RuleTable(conditions, interner);
            tables.add(table);
            return table;
        }

        /** Compiles all; nothing may be added afterwards. */
        public Program build() {
            values.forEach(value -> value.node = compiler.compile(value.expression));
            tables.forEach(table -> table.compile(compiler));
            return new Program(schema.size(), compiler.layout());
        }
    }

    /** An expression that can be evaluated once its program is built. */
    public static final class Value {
        private final Expression expression;
        private EvaluationNode node;

        private Value(Expression expression) {
            this.expression = expression;
        }

        /** Evaluates a boolean. */
        public boolean booleanValue(EvaluationFrame frame) {
            return node.booleanValue(frame);
        }

        /** Evaluates an integer. */
        public long integerValue(EvaluationFrame frame) {
            return node.integerValue(frame);
        }

        /** Evaluates a decimal. */
        public double decimalValue(EvaluationFrame frame) {
            return node.decimalValue(frame);
        }

        /** Evaluates a string, which is valid until the frame begins another evaluation. */
        public CharSequence stringValue(EvaluationFrame frame) {
            return node.stringValue(frame);
        }

        /** Evaluates to an object: Boolean, Long, Double or String. */
        public Object boxedValue(EvaluationFrame frame) {
            return switch (expression.type) {
                case BOOLEAN -> node.booleanValue(frame);
                case INTEGER -> node.integerValue(frame);
                case DECIMAL -> node.decimalValue(frame);
                case STRING -> node.stringValue(frame).toString();
                default -> throw new IllegalStateException("an address has no value of its own");
            };
        }
    }
}
