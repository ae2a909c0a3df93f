package tulipshed.expression;

/** A common subexpression: evaluated at its first use in a frame, then read from its cache slot. */
final class CachedNode extends EvaluationNode {
    private final EvaluationNode operand;
    private final int slot;

    CachedNode(EvaluationNode operand, int slot) {
        this.operand = operand;
        this.slot = slot;
    }

    @Override
    boolean booleanValue(EvaluationFrame frame) {
        if (!isCached(frame)) {
            frame.cachedIntegers[slot] = operand.booleanValue(frame) ? 1 : 0;
            frame.cachedGenerations[slot] = frame.generation;
        }
        return frame.cachedIntegers[slot] != 0;
    }

    @Override
    long integerValue(EvaluationFrame frame) {
        if (!isCached(frame)) {
            frame.cachedIntegers[slot] = operand.integerValue(frame);
            frame.cachedGenerations[slot] = frame.generation;
        }
        return frame.cachedIntegers[slot];
    }

    @Override
    double decimalValue(EvaluationFrame frame) {
        if (!isCached(frame)) {
            frame.cachedDecimals[slot] = operand.decimalValue(frame);
            frame.cachedGenerations[slot] = frame.generation;
        }
        return frame.cachedDecimals[slot];
    }

    @Override
    CharSequence stringValue(EvaluationFrame frame) {
        if (!isCached(frame)) {
            frame.cachedStrings[slot] = operand.stringValue(frame);
            frame.cachedGenerations[slot] = frame.generation;
        }
        return frame.cachedStrings[slot];
    }

    private boolean isCached(EvaluationFrame frame) {
        frame.spent++;
        return frame.cachedGenerations[slot] == frame.generation;
    }
}
