package tulipshed.routing;

import java.util.List;
import tulipshed.expression.CompiledExpression;

/**
 * A route as the operators define it: one branch of pools, or a weighted split into several.
 *
 * @param name the name of the route
 * @param splitPoint the expression that gives the point of the split, from 0 to the sum of the weights, exclusively; null
 *     for a single branch
 * @param weights the weight of each branch, not negative
 * @param branches the pools of each branch, in order of preference
 */
public record RouteDefinition(
        String name, CompiledExpression splitPoint, List<Integer> weights, List<List<PoolTarget>> branches) {}
