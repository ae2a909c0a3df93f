package tulipshed.routing;

import java.util.List;
import tulipshed.expression.CompiledExpression;

/**
 * A route as defined by the operators: a single branch of pools, or a weighted split into several branches.
 *
 * @param name the name of the route
 * @param splitPoint the expression that computes the split point, from 0 to the sum of the weights, exclusive; null for a
 *     single branch
 * @param weights the non-negative weight of each branch
 * @param branches the pools of each branch, in order of preference
 */
public record RouteDefinition(
        String name, CompiledExpression splitPoint, List<Integer> weights, List<List<PoolTarget>> branches) {}
