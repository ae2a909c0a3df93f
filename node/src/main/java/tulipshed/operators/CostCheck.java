package tulipshed.operators;

import tulipshed.expression.CostModel;
import tulipshed.expression.Expression;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.SourcePosition;

/** Reports expressions whose cost may exceed the limit of the file. */
final class CostCheck {
    private final long maxCost;
    private final Diagnostics diagnostics;
    private final CostModel costModel = new CostModel();
    private long highestBound;
    private String nameOfHighest = "";

    CostCheck(long maxCost, Diagnostics diagnostics) {
        this.maxCost = maxCost;
        this.diagnostics = diagnostics;
    }

    CostModel costModel() {
        return costModel;
    }

    /** Returns the bound of one expression; an excess is reported at the part that costs most. */
    long check(String name, Expression expression) {
        long bound = costModel.bound(expression);
        if (bound > highestBound) {
            highestBound = bound;
            nameOfHighest = name;
        }
        if (bound > maxCost) {
            Expression part = CostModel.mostExpensivePart(expression);
            diagnostics.add(
                    part.place(),
                    "this may cost " + bound + " in all, over the max-cost of " + maxCost + "; most of it is " + part);
        }
        return bound;
    }

    /** Checks the bound of a whole section; its excess is not reported besides that of a single expression. */
    void checkTotal(String section, long bound, SourcePosition place) {
        if (bound > maxCost && highestBound <= maxCost) {
            diagnostics.add(
                    place,
                    section + " may cost " + bound + " a request, over the max-cost of " + maxCost
                            + "; the most expensive is " + nameOfHighest + " with " + highestBound);
        }
    }
}
