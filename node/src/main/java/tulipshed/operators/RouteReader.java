package tulipshed.operators;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tulipshed.expression.CompiledExpression;
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
import tulipshed.sexpr.SourcePosition;

/**
 * Reads {@code (route NAME (when EXPR) (to TARGET ...))} and
 * {@code (route NAME (when EXPR) (split EXPR (WEIGHT TARGET ...) ...))}; {@code when} is optional and defaults to true.
 */
final class RouteReader {
    private static final Set<String> FIELDS = SectionNames.ordered(FieldNames.WHEN, FieldNames.TO, FieldNames.SPLIT);
    private static final int MAX_WEIGHT = 1_000_000; // of one branch, and of all branches of a split in total

    private final RequestSchema schema;
    private final TypeChecker checker;
    private final ReaderContext context;
    private final Diagnostics diagnostics;
    private final RouteTargetReader targetReader;

    RouteReader(RequestSchema schema, TypeChecker checker, Set<String> poolNames, ReaderContext context) {
        this.schema = schema;
        this.checker = checker;
        this.context = context;
        this.diagnostics = context.diagnostics();
        targetReader = new RouteTargetReader(poolNames, diagnostics);
    }

    /** Returns the routes; null if one of them has errors, which are reported. */
    Routes read(List<Form.Sequence> sections) {
        int errorsBefore = diagnostics.count();
        List<ParsedRoute> parsed = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Form.Sequence section : sections) {
            ParsedRoute route = parseRoute(section, names);
            if (route != null) {
                parsed.add(route);
            }
        }
        if (diagnostics.count() > errorsBefore) {
            return null;
        }
        Program.Builder builder = new Program.Builder(schema.schema());
        RuleTable table =
                builder.table(parsed.stream().map(ParsedRoute::condition).toList(), checker.interner());
        List<RouteDefinition> definitions = new ArrayList<>();
        for (ParsedRoute route : parsed) {
            CompiledExpression splitBucket = route.splitBucket() == null ? null : builder.value(route.splitBucket());
            definitions.add(new RouteDefinition(route.name(), splitBucket, route.weights(), route.branches()));
        }
        Program program = builder.build();
        explain(sections.get(0).place(), parsed, table);
        return diagnostics.count() > errorsBefore ? null : new Routes(schema, definitions, table, program);
    }

    private ParsedRoute parseRoute(Form.Sequence section, Set<String> names) {
        String name = section.items().size() < 2
                ? null
                : FormValues.name(section.items().get(1), diagnostics);
        if (name == null) {
            diagnostics.add(section.place(), "expected (route NAME (when EXPRESSION) (to POOL ...))");
            return null;
        }
        if (!names.add(name)) {
            diagnostics.add(section.place(), "another route is called " + name + " already");
        }
        SectionFields fields = new SectionFields(section, 2, FIELDS, diagnostics);
        Expression condition = parseCondition(section, fields);
        if (fields.has(FieldNames.TO) == fields.has(FieldNames.SPLIT)) {
            diagnostics.add(
                    section.place(), "expected either (to POOL ...) or (split EXPRESSION (WEIGHT POOL ...) ...)");
            return null;
        }
        List<Integer> weights = new ArrayList<>();
        List<List<PoolTarget>> branches = new ArrayList<>();
        Expression splitBucket = null;
        if (fields.has(FieldNames.TO)) {
            weights.add(1);
            branches.add(targetReader.read(fields.values(FieldNames.TO), fields.place(FieldNames.TO)));
        } else {
            splitBucket = parseSplit(fields.get(FieldNames.SPLIT), weights, branches);
        }
        boolean valid = condition != null
                && !branches.isEmpty()
                && branches.stream().noneMatch(List::isEmpty)
                && (fields.has(FieldNames.TO) || splitBucket != null);
        return valid ? new ParsedRoute(name, condition, splitBucket, weights, branches) : null;
    }

    private Expression parseCondition(Form.Sequence section, SectionFields fields) {
        Form when =
                fields.has(FieldNames.WHEN) ? fields.value(FieldNames.WHEN) : new Form.Symbol("true", section.place());
        return when == null ? null : checker.check(when, Type.BOOLEAN);
    }

    /** Adds the branches of a split; returns the expression that selects a branch, or null if it has errors. */
    private Expression parseSplit(Form.Sequence split, List<Integer> weights, List<List<PoolTarget>> branches) {
        List<Form> items = split.items();
        if (items.size() < 3) {
            diagnostics.add(split.place(), "expected (split EXPRESSION (WEIGHT POOL ...) ...)");
            return null;
        }
        long totalWeight = 0;
        for (Form item : items.subList(2, items.size())) {
            if (!(item instanceof Form.Sequence branch)
                    || branch.square()
                    || branch.items().size() < 2
                    || !(branch.items().get(0) instanceof Form.IntegerLiteral weight)
                    || weight.value() < 0
                    || weight.value() > MAX_WEIGHT) {
                diagnostics.add(
                        item.place(),
                        "expected (WEIGHT POOL ...) with a weight from 0 to " + MAX_WEIGHT + ", found "
                                + item.describe());
                continue;
            }
            totalWeight += weight.value();
            weights.add((int) weight.value());
            List<Form> targets = branch.items().subList(1, branch.items().size());
            branches.add(targetReader.read(targets, branch.place()));
        }
        if (totalWeight < 1 || totalWeight > MAX_WEIGHT) {
            diagnostics.add(
                    split.place(), "expected weights from 1 to " + MAX_WEIGHT + " together, found " + totalWeight);
            return null;
        }
        return checker.check(bucketCall(items.get(1), totalWeight), Type.INTEGER);
    }

    /** Returns {@code (bucket STRING TOTAL_WEIGHT)}, whose value falls into the weight range of exactly one branch. */
    private static Form bucketCall(Form string, long totalWeight) {
        SourcePosition place = string.place();
        List<Form> items =
                List.of(new Form.Symbol("bucket", place), string, new Form.IntegerLiteral(totalWeight, place));
        return new Form.Sequence(items, false, place);
    }

    /** Adds the routes to the explanation and reports those whose cost may exceed the limit. */
    private void explain(SourcePosition place, List<ParsedRoute> routes, RuleTable table) {
        CostCheck costs = context.newCostCheck();
        List<String> lines = new ArrayList<>();
        long highestSplitBound = 0;
        for (ParsedRoute route : routes) {
            long bound = costs.check(route.name(), route.condition());
            long splitBound = route.splitBucket() == null ? 0 : costs.check(route.name(), route.splitBucket());
            highestSplitBound = Math.max(highestSplitBound, splitBound);
            lines.add(route.describe(bound));
        }
        long total = table.bound(costs.costModel()) + highestSplitBound;
        costs.checkTotal(SectionNames.ROUTE, total, place);
        Explanation explanation = context.explanation();
        explanation.add("routes: " + routes.size() + ", cost at most " + total + " a request");
        explanation.addAll("  ", table.plan());
        explanation.addAll("  ", lines);
    }
}
