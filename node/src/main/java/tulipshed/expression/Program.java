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
        private final List<CompiledExpression> values = new ArrayList<>();
        private final List<RuleTable> tables = new ArrayList<>();

        /** Creates a builder of a program over the attributes of this schema. */
        public Builder(Schema schema) {
            this.schema = schema;
        }

        /** Adds an expression to evaluate. */
        public CompiledExpression value(Expression expression) {
            expression.referenceCount++;
            CompiledExpression value = new CompiledExpression(expression);
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
            values.forEach(value -> value.compile(compiler));
            tables.forEach(table -> table.compile(compiler));
            return new Program(schema.size(), compiler.layout());
        }
    }
}
