package tulipshed.routing;

/**
 * Which rules apply to a request.
 *
 * @param classificationRule the name of the classification rule, null where none applies
 * @param route the name of the route, null where none applies
 */
public record MatchedRules(String classificationRule, String route) {}
