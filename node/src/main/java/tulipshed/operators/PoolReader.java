package tulipshed.operators;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.expression.CompiledExpression;
import tulipshed.expression.Expression;
import tulipshed.expression.Program;
import tulipshed.expression.Type;
import tulipshed.expression.TypeChecker;
import tulipshed.routing.EndpointSchema;
import tulipshed.routing.PoolMembership;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** Reads the sections {@code (pool NAME (where EXPR))}. */
final class PoolReader {
    private static final int MAX_POOLS = 64;
    private static final Set<String> FIELDS = Set.of(FieldNames.WHERE);

    /** The endpoint attribute whose value changes with time, without a change of the endpoint list. */
    private static final String AGE_ATTRIBUTE = "member.age-ms";

    private final EndpointSchema schema;
    private final TypeChecker checker;
    private final ReaderContext context;
    private final Diagnostics diagnostics;

    /** The conditions by pool name; null for a condition that has errors. */
    private final Map<String, Expression> conditionByPool = new LinkedHashMap<>();

    PoolReader(EndpointSchema schema, TypeChecker checker, ReaderContext context) {
        this.schema = schema;
        this.checker = checker;
        this.context = context;
        this.diagnostics = context.diagnostics();
    }

    /** Returns the names of all pools, including those that have errors. */
    Set<String> names() {
        return conditionByPool.keySet();
    }

    /** Returns the pools; null if one of them has errors, which are reported. */
    PoolMembership read(List<Form.Sequence> sections) {
        int errorsBefore = diagnostics.count();
        sections.forEach(this::readPool);
        if (conditionByPool.size() > MAX_POOLS) {
            diagnostics.add(sections.get(MAX_POOLS).place(), "more than " + MAX_POOLS + " pools");
        }
        if (diagnostics.count() > errorsBefore) {
            return null;
        }
        Program.Builder builder = new Program.Builder(schema.schema());
        Map<String, CompiledExpression> compiled = new LinkedHashMap<>();
        conditionByPool.forEach((name, condition) -> compiled.put(name, builder.value(condition)));
        Program program = builder.build();
        explain();
        boolean dependsOnAge =
                conditionByPool.values().stream().anyMatch(condition -> condition.references(AGE_ATTRIBUTE));
        return diagnostics.count() > errorsBefore ? null : new PoolMembership(schema, compiled, dependsOnAge, program);
    }

    private void readPool(Form.Sequence section) {
        String name = section.items().size() < 2
                ? null
                : FormValues.name(section.items().get(1), diagnostics);
        if (name == null) {
            diagnostics.add(section.place(), "expected (pool NAME (where EXPRESSION))");
            return;
        }
        if (conditionByPool.containsKey(name)) {
            diagnostics.add(section.place(), "another pool is called " + name + " already");
        }
        Form where = new SectionFields(section, 2, FIELDS, diagnostics).value(FieldNames.WHERE);
        conditionByPool.put(name, where == null ? null : checker.check(where, Type.BOOLEAN));
    }

    /** Adds the pools to the explanation and reports those whose cost may exceed the limit. */
    private void explain() {
        CostCheck costs = context.newCostCheck();
        conditionByPool.forEach((name, condition) -> context.explanation()
                .add("pool " + name + ": where " + condition + " (boolean, cost at most " + costs.check(name, condition)
                        + " an endpoint when the list changes)"));
    }
}
