package tulipshed.routing;

import java.util.List;
import tulipshed.expression.CompiledExpression;
import tulipshed.expression.EvaluationFrame;

/** A route with the pool that each of its branches uses now. */
final class Route {
    private final String name;
    /** Expression that selects the branch; null for a route with a single branch. */
    private final CompiledExpression splitPoint;
    /** The exclusive upper bound of the split points of each branch. */
    private final long[] branchEnds;

    private final List<PoolPreference> branches;

    Route(RouteDefinition definition) {
        name = definition.name();
        splitPoint = definition.splitPoint();
        branchEnds = new long[definition.branches().size()];
        long sum = 0;
        for (int i = 0; i < branchEnds.length; i++) {
            sum += definition.weights().get(i);
            branchEnds[i] = sum;
        }
        branches = definition.branches().stream().map(PoolPreference::new).toList();
    }

    /** Returns the name of the route. */
    String name() {
        return name;
    }

    /** Returns all branches in the order of their definition. */
    List<PoolPreference> branches() {
        return branches;
    }

    /** Returns the branch for the request whose attributes are in the frame. */
    PoolPreference branchFor(EvaluationFrame frame) {
        int index = 0;
        if (splitPoint != null) {
            long point = splitPoint.integerValue(frame);
            while (point >= branchEnds[index]) {
                index++;
            }
        }
        return branches.get(index);
    }
}
