package tulipshed.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Program;
import tulipshed.expression.RuleTable;

/** Ordered routes, which assign a pool to a request; the first route whose condition holds applies. */
public final class Routes {
    private final RequestSchema schema;
    private final List<Route> routes = new ArrayList<>();
    private final RuleTable conditions;
    private final EvaluationFrame frame;

    /**
     * Creates routes over the attributes of a schema.
     *
     * @param conditions the conditions of the routes, in the order of the routes
     * @param program the complete program of the conditions and split points
     */
    public Routes(RequestSchema schema, List<RouteDefinition> definitions, RuleTable conditions, Program program) {
        this.schema = schema;
        this.conditions = conditions;
        frame = program.frame();
        for (RouteDefinition definition : definitions) {
            routes.add(new Route(definition));
        }
    }

    /** Returns the pool that must serve the request now, null for any endpoint. */
    String poolFor(RequestAttributes request) {
        Route route = firstMatch(request);
        return route == null ? null : route.branchFor(frame).pool();
    }

    /** Returns the name of the route that applies to the request, null if none does. */
    String matchingRoute(RequestAttributes request) {
        Route route = firstMatch(request);
        return route == null ? null : route.name();
    }

    /** Returns the route that applies, null if none does; the attributes of the request remain in the frame. */
    private Route firstMatch(RequestAttributes request) {
        schema.fill(frame, request);
        int index = conditions.first(frame);
        return index < 0 ? null : routes.get(index);
    }

    /** Re-evaluates the pool of every branch; returns whether the pool of any branch changed. */
    boolean reevaluate(PoolReadiness readiness) {
        boolean changed = false;
        for (Route route : routes) {
            for (PoolPreference branch : route.branches()) {
                changed |= branch.reevaluate(readiness);
            }
        }
        return changed;
    }

    /**
     * Returns the pool in use by route name, for routes that do not use their preferred pool; for a split route, the pool of
     * its last branch that does not use its preferred pool.
     */
    Map<String, String> spilloverPools() {
        Map<String, String> poolByRoute = new TreeMap<>();
        for (Route route : routes) {
            route.branches().stream()
                    .filter(PoolPreference::isSpilled)
                    .forEach(branch -> poolByRoute.put(route.name(), branch.pool()));
        }
        return poolByRoute;
    }
}
