package tulipshed.routing;

import tulipshed.expression.CompiledExpression;

/**
 * The assignments of one classification rule; null leaves the value of the request unchanged.
 *
 * @param name the name of the rule
 * @param className the name of the class, or null
 * @param tenant the name of the tenant, or null
 * @param group the expression that computes the affinity group, or null; an empty string means no group
 */
public record ClassificationRule(String name, String className, String tenant, CompiledExpression group) {}
