package tulipshed.routing;

/**
 * The classification rule and the route that apply to a request.
 *
 * @param classificationRule the name of the classification rule, null if none applies
 * @param route the name of the route, null if none applies
 */
public record MatchedRules(String classificationRule, String route) {}
