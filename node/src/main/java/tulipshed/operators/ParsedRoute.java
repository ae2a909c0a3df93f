package tulipshed.operators;

import java.util.List;
import java.util.StringJoiner;
import tulipshed.expression.Expression;
import tulipshed.routing.PoolTarget;

/**
 * A route before its expressions are compiled.
 *
 * @param splitBucket the expression whose integer value, from 0 to the total weight - 1, selects a branch; null for a
 *     route without a split
 * @param weights the weight of each branch
 * @param branches the pools of each branch, in order of preference
 */
record ParsedRoute(
        String name,
        Expression condition,
        Expression splitBucket,
        List<Integer> weights,
        List<List<PoolTarget>> branches) {

    /** Returns a description of the route for operators, with the cost bound of its condition. */
    String describe(long conditionBound) {
        return "route " + name + ": when " + condition + " (boolean, cost at most " + conditionBound + ")"
                + (splitBucket == null ? ", to " : ", split by " + splitBucket + ": ") + describeBranches();
    }

    private String describeBranches() {
        StringJoiner description = new StringJoiner("; ");
        for (int i = 0; i < branches.size(); i++) {
            String weight = splitBucket == null ? "" : weights.get(i) + " ";
            description.add(weight + describeTargets(branches.get(i)));
        }
        return description.toString();
    }

    private static String describeTargets(List<PoolTarget> targets) {
        StringJoiner description = new StringJoiner(", else ");
        for (PoolTarget target : targets) {
            String shares = target.restoreAt() > 0
                    ? " (skipped below " + target.spillBelow() + ", used again at " + target.restoreAt() + ")"
                    : "";
            description.add(target.pool() + shares);
        }
        return description.toString();
    }
}
