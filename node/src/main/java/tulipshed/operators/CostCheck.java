package tulipshed.operators;

import tulipshed.expression.CostModel;
import tulipshed.expression.Expression;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.SourcePosition;

/** Computes cost bounds; reports expressions and sections whose cost may exceed the limit of the file. */
final class CostCheck {
    private final long maxCost;
    private final Diagnostics diagnostics;
    private final CostModel costModel = new CostModel();
    private long highestBound;
    private String mostExpensiveRule = "";

    CostCheck(long maxCost, Diagnostics diagnostics) {
        this.maxCost = maxCost;
        this.diagnostics = diagnostics;
    }

    CostModel costModel() {
        return costModel;
    }

    /** Returns the cost bound of one expression; if it exceeds the limit, its most expensive subexpression is reported. */
    long check(String name, Expression expression) {
        long bound = costModel.bound(expression);
        if (bound > highestBound) {
            highestBound = bound;
            mostExpensiveRule = name;
        }
        if (bound > maxCost) {
            Expression mostExpensive = CostModel.mostExpensivePart(expression);
            diagnostics.add(
                    mostExpensive.place(),
                    "this may cost " + bound + " in all, over the max-cost of " + maxCost + "; most of it is "
                            + mostExpensive);
        }
        return bound;
    }

    /** Checks the total cost bound of a section; reports it only if no single expression exceeds the limit. */
    void checkTotal(String section, long bound, SourcePosition place) {
        if (bound > maxCost && highestBound <= maxCost) {
            diagnostics.add(
                    place,
                    section + " may cost " + bound + " a request, over the max-cost of " + maxCost
                            + "; the most expensive is " + mostExpensiveRule + " with " + highestBound);
        }
    }
}
