package tulipshed.expression;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Rules in order, of which the first that holds counts. Rules that compare an expression with literals are found by one
 * lookup of its value, however many there are; their residual conditions, and all other rules, are evaluated in order.
 */
public final class RuleTable {
    private final List<RuleIndex> indexes;
    private final Expression[] residuals;
    private final int[] sequentialRules;

    /** The nodes of the residual conditions; null for a rule that holds whenever an index finds it. */
    private EvaluationNode[] nodes;

    private int firstListSlot;

    RuleTable(List<Expression> conditions, ExpressionInterner interner) {
        RuleIndexPlanner planner = new RuleIndexPlanner(conditions, interner);
        indexes = planner.indexes();
        residuals = planner.residuals();
        sequentialRules = planner.sequentialRules();
        for (RuleIndex index : indexes) {
            index.key().referenceCount++;
        }
        for (Expression residual : residuals) {
            residual.referenceCount++;
        }
    }

    void compile(ExpressionCompiler compiler) {
        firstListSlot = compiler.layout().addRuleLists(indexes.size() + 1);
        indexes.forEach(index -> index.compile(compiler));
        nodes = new EvaluationNode[residuals.length];
        for (int rule = 0; rule < residuals.length; rule++) {
            nodes[rule] = residuals[rule].isLiteral(true) ? null : compiler.compile(residuals[rule]);
        }
    }

    /** Returns the index of the first rule that holds, from 0, or -1. */
    public int first(EvaluationFrame frame) {
        int listsEnd = findCandidates(frame);
        while (true) {
            int rule = nextCandidate(frame, listsEnd);
            if (rule < 0) {
                return -1;
            }
            frame.spent++;
            if (nodes[rule] == null || nodes[rule].booleanValue(frame)) {
                return rule;
            }
        }
    }

    /** Looks up the lists of candidate rules; returns the slot after the last of them. */
    private int findCandidates(EvaluationFrame frame) {
        int slot = firstListSlot;
        frame.lists[slot] = sequentialRules;
        frame.cursors[slot] = 0;
        slot++;
        for (int i = 0; i < indexes.size(); i++) {
            frame.lists[slot] = indexes.get(i).find(frame);
            frame.cursors[slot] = 0;
            slot++;
        }
        return slot;
    }

    /** Merges the sorted lists: takes the lowest rule that is left, or returns -1 at their end. */
    private int nextCandidate(EvaluationFrame frame, int listsEnd) {
        int rule = Integer.MAX_VALUE;
        int slotOfRule = -1;
        for (int slot = firstListSlot; slot < listsEnd; slot++) {
            int cursor = frame.cursors[slot];
            if (cursor < frame.lists[slot].length && frame.lists[slot][cursor] < rule) {
                rule = frame.lists[slot][cursor];
                slotOfRule = slot;
            }
        }
        if (slotOfRule < 0) {
            return -1;
        }
        frame.cursors[slotOfRule]++;
        return rule;
    }

    /** Returns what finding the rule costs at most, in units of {@link CostModel}. */
    public long bound(CostModel costModel) {
        Set<Expression> counted = new HashSet<>();
        long sum = bound(sequentialRules, costModel, counted);
        for (RuleIndex index : indexes) {
            sum = SaturatingMath.add(sum, index.lookupBound() + costModel.bound(index.key(), counted));
            long highestListBound = 0;
            for (int[] rules : index.ruleLists()) {
                highestListBound = Math.max(highestListBound, bound(rules, costModel, new HashSet<>(counted)));
            }
            sum = SaturatingMath.add(sum, highestListBound);
        }
        return sum;
    }

    private long bound(int[] rules, CostModel costModel, Set<Expression> counted) {
        long sum = 0;
        for (int rule : rules) {
            long residualBound = nodes[rule] == null ? 0 : costModel.bound(residuals[rule], counted);
            sum = SaturatingMath.add(sum, 1 + residualBound);
        }
        return sum;
    }

    /** Describes how the rules are found, a line for each index and one for the rules without. */
    public List<String> plan() {
        List<String> lines = new ArrayList<>();
        for (RuleIndex index : indexes) {
            lines.add(index.describe());
        }
        if (sequentialRules.length > 0) {
            String rules = sequentialRules.length == 1 ? " rule is" : " rules are";
            lines.add(sequentialRules.length + rules + " gone through in order");
        }
        return lines;
    }
}
