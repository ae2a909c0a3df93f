package tulipshed.expression;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All expressions over one schema, compiled together so that what they have in common is worked out once. Not changed
 * after it is built; each thread needs a {@link EvaluationFrame} of its own.
 */
public final class Program {
    private final int attributes;
    private final int remembered;
    private final int[] buffers;
    private final Pattern[] patterns;
    private final int lists;

    private Program(Builder b) {
        attributes = b.schema.size();
        remembered = b.remembered;
        buffers = b.buffers.stream().mapToInt(Integer::intValue).toArray();
        patterns = b.patterns.toArray(new Pattern[0]);
        lists = b.lists;
    }

    /** Room for the attributes of one transaction at a time. */
    public EvaluationFrame frame() {
        ReusableStringBuffer[] texts = new ReusableStringBuffer[buffers.length];
        for (int i = 0; i < texts.length; i++) {
            texts[i] = new ReusableStringBuffer(buffers[i]);
        }
        Matcher[] matchers = new Matcher[patterns.length];
        for (int i = 0; i < matchers.length; i++) {
            matchers[i] = patterns[i].matcher("");
        }
        return new EvaluationFrame(attributes, remembered, texts, matchers, lists);
    }

    /** Takes expressions and tables of rules, and compiles all of them at its end. */
    public static final class Builder {
        private final Schema schema;
        private final Map<Expression, EvaluationNode> nodes = new HashMap<>();
        private final List<Integer> buffers = new ArrayList<>();
        private final List<Pattern> patterns = new ArrayList<>();
        private final List<Value> values = new ArrayList<>();
        private final List<RuleTable> tables = new ArrayList<>();
        private int remembered;
        private int lists;

        /** A program over the attributes of this schema. */
        public Builder(Schema schema) {
            this.schema = schema;
        }

        /** An expression whose value is wanted. */
        public Value value(Expression e) {
            e.uses++;
            Value v = new Value(e);
            values.add(v);
            return v;
        }

        /** Rules of which the first that holds is wanted. */
        public RuleTable table(List<Expression> conditions, ExpressionInterner terms) {
            RuleTable t = new RuleTable(conditions, terms);
            tables.add(t);
            return t;
        }

        /** Nothing more is added: compiles all. */
        public Program build() {
            values.forEach(v -> v.node = node(v.expr));
            tables.forEach(t -> t.compile(this));
            return new Program(this);
        }

        int lists(int count) {
            int first = lists;
            lists += count;
            return first;
        }

        EvaluationNode node(Expression e) {
            EvaluationNode known = nodes.get(e);
            if (known == null) {
                known = compiled(e);
                if (e.remembered()) {
                    known = new BasicNodes.Remembered(known, remembered++);
                }
                nodes.put(e, known);
            }
            return known;
        }

        private EvaluationNode[] nodes(List<Expression> parts) {
            EvaluationNode[] all = new EvaluationNode[parts.size()];
            for (int i = 0; i < all.length; i++) {
                all[i] = node(parts.get(i));
            }
            return all;
        }

        private int buffer(int longest) {
            buffers.add(longest);
            return buffers.size() - 1;
        }

        private EvaluationNode compiled(Expression e) {
            EvaluationNode[] n = nodes(e.args);
            return switch (e.op) {
                case LITERAL -> new BasicNodes.Literal(e.literal);
                case ATTRIBUTE -> new BasicNodes.Get((Attribute) e.literal);
                case PRESENT -> new BasicNodes.Present((Attribute) e.literal);
                case DEFAULT -> new BasicNodes.Default(n[0], n[1]);
                case NOT -> new BasicNodes.Not(n[0]);
                case AND, OR -> new BasicNodes.Join(n, e.op == Operator.OR);
                case IF -> new BasicNodes.If(n[0], n[1], n[2]);
                case EQUAL -> new NumberNodes.Equal(e.args.get(0).type, n[0], n[1]);
                case LESS, AT_MOST ->
                    new NumberNodes.Less(e.op == Operator.AT_MOST, e.args.get(0).type == Type.DECIMAL, n[0], n[1]);
                case ADD, SUBTRACT, MULTIPLY, LEAST, MOST -> new NumberNodes.Two(e.op, n[0], n[1]);
                case DIVIDE, MODULO -> new NumberNodes.Divide(e.op == Operator.MODULO, n[0], n[1], n[2]);
                case TO_DECIMAL, TO_INTEGER -> new NumberNodes.Convert(n[0]);
                case TO_STRING -> new StringNodes.Figures(n[0], buffer(e.longest));
                case IN -> new NumberNodes.In(n[0], (LiteralSet) e.literal);
                case IN_NETWORK -> new NumberNodes.InNetwork(n[0], (Networks) e.literal);
                case PREFIX, SUFFIX, CONTAINS -> new StringNodes.Part(e.op, n[0], n[1]);
                case LENGTH -> new StringNodes.Length(n[0]);
                case CONCAT -> new StringNodes.Concat(n, buffer(e.longest));
                case SUBSTRING -> new StringNodes.Substring(n[0], n[1], n[2], buffer(e.longest));
                case LOWER -> new StringNodes.Lower(n[0], buffer(e.longest));
                case MATCHES -> {
                    patterns.add(((Matching) e.literal).pattern());
                    yield new StringNodes.Matches(n[0], (Matching) e.literal, patterns.size() - 1);
                }
                case HASH -> new StringNodes.Hash(n[0]);
                case BUCKET -> new StringNodes.Bucket(n[0], (Integer) e.literal);
            };
        }
    }

    /** One expression, compiled once its program is built. */
    public static final class Value {
        private final Expression expr;
        private EvaluationNode node;

        private Value(Expression expr) {
            this.expr = expr;
        }

        /** Its value as a boolean. */
        public boolean booleanValue(EvaluationFrame frame) {
            return node.booleanValue(frame);
        }

        /** Its value as an integer. */
        public long integerValue(EvaluationFrame frame) {
            return node.integerValue(frame);
        }

        /** Its value as a decimal. */
        public double decimalValue(EvaluationFrame frame) {
            return node.decimalValue(frame);
        }

        /** Its value as a string, which holds until the frame begins anew. */
        public CharSequence stringValue(EvaluationFrame frame) {
            return node.stringValue(frame);
        }

        /** Its value as an object: Boolean, Long, Double or String. */
        public Object boxed(EvaluationFrame frame) {
            return switch (expr.type) {
                case BOOLEAN -> node.booleanValue(frame);
                case INTEGER -> node.integerValue(frame);
                case DECIMAL -> node.decimalValue(frame);
                case STRING -> node.stringValue(frame).toString();
                default -> throw new IllegalStateException("an address has no value of its own");
            };
        }
    }
}
