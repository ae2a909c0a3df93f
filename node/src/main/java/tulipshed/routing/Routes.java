package tulipshed.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Program;
import tulipshed.expression.RuleTable;

/** Ordered routes: which pool a transaction is held to; of those that hold, the first counts. */
public final class Routes {
    private final RequestSchema schema;
    private final List<Route> routes;
    private final RuleTable table;
    private final EvaluationFrame frame;

    /** One route: its branches, and what decides between them where there are several. */
    static final class Route {
        private final String name;
        private final Program.Value share;
        private final long[] upTo;
        private final List<PoolPreference> branches;

        Route(String name, Program.Value share, long[] upTo, List<PoolPreference> branches) {
            this.name = name;
            this.share = share;
            this.upTo = upTo;
            this.branches = branches;
        }

        PoolPreference branch(EvaluationFrame f) {
            int i = 0;
            if (share != null) {
                long at = share.integerValue(f);
                while (at >= upTo[i]) {
                    i++;
                }
            }
            return branches.get(i);
        }
    }

    /**
     * What a route leads to: pools in order of preference, or a split, whose expression gives one of as many shares as
     * all weights together.
     */
    public record Way(String name, Program.Value share, List<Integer> weights, List<List<PoolTarget>> branches) {}

    /** The table holds the conditions of the routes, in their order; the program has been built. */
    public Routes(RequestSchema schema, List<Way> ways, RuleTable table, Program program) {
        this.schema = schema;
        this.table = table;
        frame = program.frame();
        routes = new ArrayList<>();
        for (Way w : ways) {
            long[] upTo = new long[w.branches().size()];
            long sum = 0;
            for (int i = 0; i < upTo.length; i++) {
                sum += w.weights().get(i);
                upTo[i] = sum;
            }
            routes.add(new Route(
                    w.name(),
                    w.share(),
                    upTo,
                    w.branches().stream().map(PoolPreference::new).toList()));
        }
    }

    private Route find(RequestAttributes s) {
        schema.fill(frame, s);
        int found = table.first(frame);
        return found < 0 ? null : routes.get(found);
    }

    /** The pool that it is held to now, or null where any member may serve it. */
    String pool(RequestAttributes s) {
        Route r = find(s);
        return r == null ? null : r.branch(frame).pool();
    }

    /** The route that counts for it, or null. */
    String route(RequestAttributes s) {
        Route r = find(s);
        return r == null ? null : r.name;
    }

    /** Looks at the pools again; whether any route uses another. */
    boolean look(PoolPreference.Readiness readiness) {
        boolean changed = false;
        for (Route r : routes) {
            for (PoolPreference b : r.branches) {
                changed |= b.look(readiness);
            }
        }
        return changed;
    }

    /** Routes that use another pool than their first, with the pools that they use. */
    Map<String, String> spilled() {
        Map<String, String> names = new TreeMap<>();
        for (Route r : routes) {
            r.branches.stream().filter(PoolPreference::spilled).forEach(b -> names.put(r.name, b.pool()));
        }
        return names;
    }
}
