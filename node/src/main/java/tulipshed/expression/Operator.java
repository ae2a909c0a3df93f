package tulipshed.expression;

/**
 * The operation of a checked expression, with its cost and its evaluation node. Functions that others can express
 * ({@code cond}, {@code let}, {@code !=}, {@code >}) have no operator of their own: their calls are lowered to these.
 * The operators that the optimizer, the cost model or the rule index treats specially are constants here; those of other
 * functions stand with the entry of their function.
 */
final class Operator {
    static final Operator LITERAL =
            new Operator("", CostFunction.NONE, (expression, operands, layout) -> new LiteralNode(expression.constant));
    static final Operator ATTRIBUTE = new Operator(
            "",
            CostFunction.NONE,
            (expression, operands, layout) -> new AttributeNodes.Read((Attribute) expression.constant));
    static final Operator PRESENT = new Operator(
            "present",
            CostFunction.NONE,
            (expression, operands, layout) -> new AttributeNodes.IsPresent((Attribute) expression.constant));
    static final Operator DEFAULT = new Operator(
            "default",
            CostFunction.NONE,
            (expression, operands, layout) -> new ConditionalNodes.Default(operands[0], operands[1]));
    static final Operator IF = new Operator(
            "if",
            CostFunction.NONE,
            (expression, operands, layout) -> new ConditionalNodes.If(operands[0], operands[1], operands[2]));
    static final Operator NOT =
            new Operator("not", CostFunction.NONE, (expression, operands, layout) -> new LogicNodes.Not(operands[0]));
    static final Operator AND = new Operator(
            "and", CostFunction.NONE, (expression, operands, layout) -> new LogicNodes.Junction(operands, false));
    static final Operator OR = new Operator(
            "or", CostFunction.NONE, (expression, operands, layout) -> new LogicNodes.Junction(operands, true));
    static final Operator EQUAL = new Operator(
            "=",
            expression -> expression.argument(0).type == Type.STRING ? CostFunction.shorterString(expression) : 0,
            (expression, operands, layout) ->
                    new ComparisonNodes.Equal(expression.argument(0).type, operands[0], operands[1]));
    static final Operator IN = new Operator(
            "in",
            expression -> expression.argument(0).type == Type.STRING
                    ? 2 * CostModel.units(expression.argument(0).maxLength)
                    : 0,
            (expression, operands, layout) ->
                    new MembershipNodes.InLiterals(operands[0], (LiteralSet) expression.constant));
    static final Operator PREFIX = new Operator(
            "prefix",
            CostFunction::shorterString,
            (expression, operands, layout) -> new StringNodes.StartsOrEndsWith(true, operands[0], operands[1]));

    /** The function's name in the language; empty where there is none. */
    final String symbol;

    private final CostFunction cost;
    private final NodeFactory factory;

    /** The cost of an operation beyond one unit and the cost of its operands, in units of {@link CostModel}. */
    @FunctionalInterface
    interface CostFunction {
        CostFunction NONE = expression -> 0;

        /** Returns the most that one evaluation costs, from the declared lengths of the operands. */
        long units(Expression expression);

        /** The cost of reading the shorter one of two strings. */
        static long shorterString(Expression expression) {
            return CostModel.units(Math.min(expression.argument(0).maxLength, expression.argument(1).maxLength));
        }

        /** The cost of reading the one string that the operation reads. */
        static long firstString(Expression expression) {
            return CostModel.units(expression.argument(0).maxLength);
        }

        /** The cost of writing the string that is the result. */
        static long result(Expression expression) {
            return CostModel.units(expression.maxLength);
        }
    }

    /** Makes the node that evaluates an operation; working storage is taken from the layout. */
    @FunctionalInterface
    interface NodeFactory {
        EvaluationNode create(Expression expression, EvaluationNode[] operands, FrameLayout layout);
    }

    Operator(String symbol, CostFunction cost, NodeFactory factory) {
        this.symbol = symbol;
        this.cost = cost;
        this.factory = factory;
    }

    /** Returns what an expression with this operator costs at most besides its operands. */
    long cost(Expression expression) {
        return 1 + cost.units(expression);
    }

    EvaluationNode compile(Expression expression, EvaluationNode[] operands, FrameLayout layout) {
        return factory.create(expression, operands, layout);
    }

    @Override
    public String toString() {
        return symbol;
    }
}
