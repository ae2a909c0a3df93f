package tulipshed.operators;

import tulipshed.expression.CostModel;
import tulipshed.expression.Expression;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.SourcePosition;

/** Holds expressions to the file's max-cost. */
final class CostCheck {
    private final long most;
    private final Diagnostics problems;
    private final CostModel cost = new CostModel();
    private long dearest;
    private String dearestName = "";

    CostCheck(long most, Diagnostics problems) {
        this.most = most;
        this.problems = problems;
    }

    CostModel cost() {
        return cost;
    }

    /** The bound of one expression; where it is over the most, the part that adds most is noted. */
    long check(String name, Expression e) {
        long bound = cost.bound(e);
        if (bound > dearest) {
            dearest = bound;
            dearestName = name;
        }
        if (bound > most) {
            Expression part = CostModel.mostExpensivePart(e);
            problems.add(
                    part.place(),
                    "this may cost " + bound + " in all, over the max-cost of " + most + "; most of it is " + part);
        }
        return bound;
    }

    /** What all of it together costs a transaction. */
    void total(String what, long bound, SourcePosition place) {
        if (bound > most && dearest <= most) {
            problems.add(
                    place,
                    what + " may cost a transaction " + bound + ", over the max-cost of " + most + "; the dearest is "
                            + dearestName + " with " + dearest);
        }
    }
}
