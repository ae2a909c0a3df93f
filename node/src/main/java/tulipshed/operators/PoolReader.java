package tulipshed.operators;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.expression.Expression;
import tulipshed.expression.Program;
import tulipshed.expression.Type;
import tulipshed.expression.TypeChecker;
import tulipshed.routing.EndpointSchema;
import tulipshed.routing.PoolMembership;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** Reads {@code (pool NAME (where EXPR))}, of which there may be many. */
final class PoolReader {
    private static final int MOST_POOLS = 64;

    private final EndpointSchema schema;
    private final TypeChecker checker;
    private final CostCheck costs;
    private final Diagnostics problems;
    private final Explanation explanation;
    private final Map<String, Expression> conditions = new LinkedHashMap<>();

    PoolReader(
            EndpointSchema schema, TypeChecker checker, long maxCost, Diagnostics problems, Explanation explanation) {
        this.schema = schema;
        this.checker = checker;
        this.problems = problems;
        this.explanation = explanation;
        costs = new CostCheck(maxCost, problems);
    }

    /** The names of the pools, also of those in which something is wrong. */
    Set<String> names() {
        return conditions.keySet();
    }

    PoolMembership read(List<Form.Sequence> sections) {
        int before = problems.count();
        sections.forEach(this::pool);
        if (conditions.size() > MOST_POOLS) {
            problems.add(sections.get(MOST_POOLS).place(), "more than " + MOST_POOLS + " pools");
        }
        if (problems.count() > before) {
            return null;
        }
        Program.Builder builder = new Program.Builder(schema.schema());
        Map<String, Program.Value> values = new LinkedHashMap<>();
        conditions.forEach((name, e) -> values.put(name, builder.value(e)));
        Program program = builder.build();
        conditions.forEach((name, e) -> explanation.add("pool " + name + ": where " + e + " (boolean, cost at most "
                + costs.check(name, e) + " a member when the list changes)"));
        boolean ages = conditions.values().stream().anyMatch(e -> e.references("member.age-ms"));
        return problems.count() > before ? null : new PoolMembership(schema, values, ages, program);
    }

    private void pool(Form.Sequence s) {
        String name = s.items().size() < 2 ? null : SectionFields.name(s.items().get(1), problems);
        if (name == null) {
            problems.add(s.place(), "expected (pool NAME (where EXPRESSION))");
            return;
        }
        if (conditions.containsKey(name)) {
            problems.add(s.place(), "another pool is called " + name + " already");
        }
        SectionFields f = new SectionFields(s, 2, Set.of("where"), problems);
        Form where = f.value("where");
        conditions.put(name, where == null ? null : checker.check(where, Type.BOOLEAN));
    }
}
