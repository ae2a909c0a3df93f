package tulipshed.operators;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tulipshed.expression.Expression;
import tulipshed.expression.Program;
import tulipshed.expression.RuleTable;
import tulipshed.expression.Type;
import tulipshed.expression.TypeChecker;
import tulipshed.routing.PoolTarget;
import tulipshed.routing.RequestSchema;
import tulipshed.routing.RouteDefinition;
import tulipshed.routing.Routes;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.SourcePosition;

/**
 * Reads {@code (route NAME (when EXPR) (to TARGET ...))} and {@code (route NAME (when EXPR) (split EXPR (WEIGHT TARGET ...)
 * ...))}; a target is a pool's name or {@code (NAME (below SHARE) (back SHARE))}.
 */
final class RouteReader {
    private static final Set<String> FIELDS = new LinkedHashSet<>(List.of("when", "to", "split"));
    private static final Set<String> TARGET_FIELDS = new LinkedHashSet<>(List.of("below", "back"));
    private static final int MOST_WEIGHT = 1_000_000;

    private final RequestSchema schema;
    private final TypeChecker checker;
    private final long maxCost;
    private final Set<String> pools;
    private final Diagnostics problems;
    private final Explanation explanation;

    private record Read(
            String name, Expression when, Expression share, List<Integer> weights, List<List<PoolTarget>> branches) {}

    RouteReader(
            RequestSchema schema,
            TypeChecker checker,
            long maxCost,
            Set<String> pools,
            Diagnostics problems,
            Explanation explanation) {
        this.schema = schema;
        this.checker = checker;
        this.maxCost = maxCost;
        this.pools = pools;
        this.problems = problems;
        this.explanation = explanation;
    }

    Routes read(List<Form.Sequence> sections) {
        int before = problems.count();
        List<Read> routes = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (Form.Sequence s : sections) {
            Read r = route(s, seen);
            if (r != null) {
                routes.add(r);
            }
        }
        if (problems.count() > before) {
            return null;
        }
        Program.Builder builder = new Program.Builder(schema.schema());
        RuleTable table = builder.table(routes.stream().map(Read::when).toList(), checker.interner());
        List<RouteDefinition> definitions = new ArrayList<>();
        for (Read r : routes) {
            definitions.add(new RouteDefinition(
                    r.name(), r.share() == null ? null : builder.value(r.share()), r.weights(), r.branches()));
        }
        Program program = builder.build();
        explain(sections.get(0).place(), routes, table);
        return problems.count() > before ? null : new Routes(schema, definitions, table, program);
    }

    private Read route(Form.Sequence s, Set<String> seen) {
        String name = s.items().size() < 2 ? null : SectionFields.name(s.items().get(1), problems);
        if (name == null) {
            problems.add(s.place(), "expected (route NAME (when EXPRESSION) (to POOL ...))");
            return null;
        }
        if (!seen.add(name)) {
            problems.add(s.place(), "another route is called " + name + " already");
        }
        SectionFields f = new SectionFields(s, 2, FIELDS, problems);
        Form when = f.has("when") ? f.value("when") : new Form.Word("true", s.place());
        Expression condition = when == null ? null : checker.check(when, Type.BOOLEAN);
        if (f.has("to") == f.has("split")) {
            problems.add(s.place(), "expected either (to POOL ...) or (split EXPRESSION (WEIGHT POOL ...) ...)");
            return null;
        }
        List<Integer> weights = new ArrayList<>();
        List<List<PoolTarget>> branches = new ArrayList<>();
        Expression share = null;
        if (f.has("to")) {
            weights.add(1);
            branches.add(targets(f.items("to"), f.place("to")));
        } else {
            share = split(f.get("split"), weights, branches);
        }
        boolean sound = condition != null
                && !branches.isEmpty()
                && branches.stream().noneMatch(List::isEmpty)
                && (f.has("to") || share != null);
        return sound ? new Read(name, condition, share, weights, branches) : null;
    }

    private Expression split(Form.Sequence s, List<Integer> weights, List<List<PoolTarget>> branches) {
        if (s.items().size() < 3) {
            problems.add(s.place(), "expected (split EXPRESSION (WEIGHT POOL ...) ...)");
            return null;
        }
        long sum = 0;
        for (Form f : s.items().subList(2, s.items().size())) {
            if (!(f instanceof Form.Sequence one)
                    || one.square()
                    || one.items().size() < 2
                    || !(one.items().get(0) instanceof Form.Whole w)
                    || w.value() < 0
                    || w.value() > MOST_WEIGHT) {
                problems.add(
                        f.place(),
                        "expected (WEIGHT POOL ...) with a weight from 0 to " + MOST_WEIGHT + ", found "
                                + f.describe());
                continue;
            }
            sum += w.value();
            weights.add((int) w.value());
            branches.add(targets(one.items().subList(1, one.items().size()), one.place()));
        }
        if (sum < 1 || sum > MOST_WEIGHT) {
            problems.add(s.place(), "expected weights from 1 to " + MOST_WEIGHT + " together, found " + sum);
            return null;
        }
        // The share of a text is the one that (bucket TEXT SUM) gives.
        SourcePosition place = s.items().get(1).place();
        return checker.check(
                new Form.Sequence(
                        List.of(new Form.Word("bucket", place), s.items().get(1), new Form.Whole(sum, place)),
                        false,
                        place),
                Type.INTEGER);
    }

    private List<PoolTarget> targets(List<Form> items, SourcePosition place) {
        List<PoolTarget> targets = new ArrayList<>();
        for (Form f : items) {
            boolean bare = !(f instanceof Form.Sequence);
            Form.Sequence s = bare ? null : (Form.Sequence) f;
            if (!bare && (s.square() || s.items().isEmpty())) {
                problems.add(f.place(), "expected a pool, found " + f.describe());
                continue;
            }
            String pool = SectionFields.name(bare ? f : s.items().get(0), problems);
            if (pool != null && !pools.contains(pool)) {
                problems.add(f.place(), "unknown pool " + pool + NameSuggestions.hint(pool, pools));
            }
            double below = 0;
            double back = 0;
            if (!bare) {
                SectionFields fields = new SectionFields(s, 1, TARGET_FIELDS, problems);
                Form b = fields.value("below");
                Form k = fields.value("back");
                below = b == null ? 0 : SectionFields.share(b, problems);
                back = k == null ? 1 : SectionFields.share(k, problems);
                if (back < below) {
                    problems.add(
                            fields.place("back"),
                            "expected a share to come back at that is not below " + below + ", found " + back);
                }
            }
            if (pool != null) {
                targets.add(new PoolTarget(pool, below, back));
            }
        }
        if (items.isEmpty()) {
            problems.add(place, "expected a pool");
        }
        return targets;
    }

    @SuppressWarnings("ReferenceEquality") // compares with the first element itself
    private void explain(SourcePosition place, List<Read> routes, RuleTable table) {
        CostCheck costs = new CostCheck(maxCost, problems);
        List<String> lines = new ArrayList<>();
        long dearestShare = 0;
        for (Read r : routes) {
            long bound = costs.check(r.name(), r.when());
            dearestShare = Math.max(dearestShare, r.share() == null ? 0 : costs.check(r.name(), r.share()));
            StringBuilder to = new StringBuilder();
            for (int i = 0; i < r.branches().size(); i++) {
                to.append(i == 0 ? "" : "; ")
                        .append(r.share() == null ? "" : r.weights().get(i) + " ");
                for (PoolTarget t : r.branches().get(i)) {
                    to.append(t == r.branches().get(i).get(0) ? "" : ", else ").append(t.pool());
                    to.append(
                            t.restoreAt() > 0
                                    ? " (passed over below " + t.spillBelow() + ", back at " + t.restoreAt() + ")"
                                    : "");
                }
            }
            lines.add("route " + r.name() + ": when " + r.when() + " (boolean, cost at most " + bound + ")"
                    + (r.share() == null ? ", to " : ", split by " + r.share() + ": ") + to);
        }
        long total = table.bound(costs.cost()) + dearestShare;
        costs.total("route", total, place);
        explanation.add("routes: " + routes.size() + ", cost at most " + total + " a transaction");
        explanation.addAll("  ", table.plan());
        explanation.addAll("  ", lines);
    }
}
