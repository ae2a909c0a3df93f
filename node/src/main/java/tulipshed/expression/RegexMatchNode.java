package tulipshed.expression;

import com.google.re2j.Matcher;

/** Whether a regular expression matches anywhere in a string. */
final class RegexMatchNode extends EvaluationNode {
    private final EvaluationNode string;
    private final int instructionCount;
    private final int matcherSlot;

    RegexMatchNode(EvaluationNode string, RegularExpression expression, int matcherSlot) {
        this.string = string;
        this.instructionCount = expression.instructionCount();
        this.matcherSlot = matcherSlot;
    }

    @Override
    boolean booleanValue(EvaluationFrame frame) {
        CharSequence text = string.stringValue(frame);
        frame.spent += 1 + CostModel.units((long) (text.length() + 1) * instructionCount);
        Matcher matcher = frame.matchers[matcherSlot];
        return matcher.reset(text).find();
    }
}
