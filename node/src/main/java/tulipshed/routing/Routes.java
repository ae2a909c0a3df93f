package tulipshed.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Program;
import tulipshed.expression.RuleTable;

/** Ordered routes, which assign a pool to a request; the first whose condition holds applies. */
public final class Routes {
    private final RequestSchema schema;
    private final List<Route> routes = new ArrayList<>();
    private final RuleTable conditions;
    private final EvaluationFrame frame;

    /**
     * Routes over the attributes of a schema.
     *
     * @param conditions the conditions of the routes, in the order of the routes
     * @param program the program of the conditions and split points, which is complete
     */
    public Routes(RequestSchema schema, List<RouteDefinition> definitions, RuleTable conditions, Program program) {
        this.schema = schema;
        this.conditions = conditions;
        frame = program.frame();
        for (RouteDefinition definition : definitions) {
            routes.add(new Route(definition));
        }
    }

    /** Returns the pool that must serve the request now, null where any endpoint may. */
    String poolFor(RequestAttributes request) {
        Route route = firstMatch(request);
        return route == null ? null : route.branchFor(frame).pool();
    }

    /** Returns the name of the route that applies to the request, null where none does. */
    String matchingRoute(RequestAttributes request) {
        Route route = firstMatch(request);
        return route == null ? null : route.name();
    }

    /** Leaves the attributes of the request in the frame. */
    private Route firstMatch(RequestAttributes request) {
        schema.fill(frame, request);
        int index = conditions.first(frame);
        return index < 0 ? null : routes.get(index);
    }

    /** Chooses the pool of every branch anew; whether any branch uses another pool from now on. */
    boolean reevaluate(PoolReadiness readiness) {
        boolean changed = false;
        for (Route route : routes) {
            for (PoolPreference branch : route.branches()) {
                changed |= branch.reevaluate(readiness);
            }
        }
        return changed;
    }

    /** Returns the pool in use by name of the route, for routes that use another pool than their preferred one. */
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
