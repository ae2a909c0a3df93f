package tulipshed.expression;

import java.util.List;

/** Hashes of strings, and their assignment to shares by consistent hashing. */
final class HashFunctions {
    private static final int MAX_BUCKETS = 1_000_000;

    private static final Operator HASH = new Operator(
            "hash",
            Operator.CostFunction::firstString,
            (expression, operands, layout) -> new HashNodes.Hash(operands[0]));
    private static final Operator BUCKET = new Operator(
            "bucket",
            expression -> Operator.CostFunction.firstString(expression) + CostModel.BUCKET_UNITS,
            (expression, operands, layout) -> new HashNodes.Bucket(operands[0], (Integer) expression.constant));

    static final List<BuiltinFunction> ENTRIES = List.of(
            BuiltinFunction.unary("(hash STRING)", Type.STRING, Type.INTEGER, HASH),
            BuiltinFunction.of("(bucket STRING SHARES)", HashFunctions::bucket));

    private HashFunctions() {}

    private static Expression bucket(FunctionCall call) {
        if (call.size() != 2) {
            return call.syntaxError();
        }
        Expression string = call.typed(0, Type.STRING);
        Expression count = call.typed(1, Type.INTEGER);
        if (Expression.anyUnknown(string, count)) {
            return call.unknown();
        }
        if (!count.isLiteral() || (Long) count.constant < 1 || (Long) count.constant > MAX_BUCKETS) {
            return call.error(1, "expected a number of shares from 1 to " + MAX_BUCKETS);
        }
        int bucketCount = ((Long) count.constant).intValue();
        return call.makeWithConstant(BUCKET, Type.INTEGER, bucketCount, string);
    }
}
