package tulipshed.operators;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tulipshed.config.NameIndex;
import tulipshed.expression.Expression;
import tulipshed.expression.Program;
import tulipshed.expression.RuleTable;
import tulipshed.expression.Type;
import tulipshed.expression.TypeChecker;
import tulipshed.routing.ClassificationRule;
import tulipshed.routing.ClassificationRules;
import tulipshed.routing.RequestSchema;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** Reads {@code (classify (rule NAME (when EXPR) (class "C") (tenant "T") (group EXPR)) ...)}. */
final class RuleReader {
    private static final Set<String> FIELDS = new LinkedHashSet<>(List.of("when", "class", "tenant", "group"));

    private final NameIndex names;
    private final RequestSchema schema;
    private final TypeChecker checker;
    private final long maxCost;
    private final Diagnostics problems;
    private final Explanation explanation;

    private record Read(String name, Expression when, String className, String tenant, Expression group) {}

    RuleReader(
            NameIndex names,
            RequestSchema schema,
            TypeChecker checker,
            long maxCost,
            Diagnostics problems,
            Explanation explanation) {
        this.names = names;
        this.schema = schema;
        this.checker = checker;
        this.maxCost = maxCost;
        this.problems = problems;
        this.explanation = explanation;
    }

    /** What the section says, or null where something is wrong. */
    ClassificationRules read(Form.Sequence section) {
        int before = problems.count();
        List<Read> rules = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (Form f : section.items().subList(1, section.items().size())) {
            Read r = rule(f, seen);
            if (r != null) {
                rules.add(r);
            }
        }
        if (problems.count() > before) {
            return null;
        }
        Program.Builder builder = new Program.Builder(schema.schema());
        RuleTable table = builder.table(rules.stream().map(Read::when).toList(), checker.interner());
        List<ClassificationRule> made = new ArrayList<>();
        for (Read r : rules) {
            made.add(new ClassificationRule(
                    r.name(), r.className(), r.tenant(), r.group() == null ? null : builder.value(r.group())));
        }
        Program program = builder.build();
        explain(section, rules, table);
        return problems.count() > before ? null : new ClassificationRules(schema, made, table, program);
    }

    private Read rule(Form form, Set<String> seen) {
        if (!(form instanceof Form.Sequence s)
                || !"rule".equals(s.head())
                || s.items().size() < 2) {
            problems.add(form.place(), "expected (rule NAME (when EXPRESSION) ...), found " + form.describe());
            return null;
        }
        String name = SectionFields.name(s.items().get(1), problems);
        if (name != null && !seen.add(name)) {
            problems.add(s.place(), "another rule is called " + name + " already");
        }
        SectionFields f = new SectionFields(s, 2, FIELDS, problems);
        Form when = f.value("when");
        Expression condition = when == null ? null : checker.check(when, Type.BOOLEAN);
        String className = f.has("class") ? f.oneOf("class", names.classNames()) : null;
        String tenant = f.has("tenant") ? f.oneOf("tenant", names.tenantNames()) : null;
        Form group = f.has("group") ? f.value("group") : null;
        Expression computed = group == null ? null : checker.check(group, Type.STRING);
        if (!f.has("class") && !f.has("tenant") && !f.has("group")) {
            problems.add(s.place(), "expected a class, a tenant or a group that the rule gives");
        }
        return name == null || condition == null || (group != null && computed == null)
                ? null
                : new Read(name, condition, className, tenant, computed);
    }

    private void explain(Form.Sequence section, List<Read> rules, RuleTable table) {
        CostCheck costs = new CostCheck(maxCost, problems);
        List<String> lines = new ArrayList<>();
        long dearestGroup = 0;
        for (Read r : rules) {
            long bound = costs.check(r.name(), r.when());
            long group = r.group() == null ? 0 : costs.check(r.name(), r.group());
            dearestGroup = Math.max(dearestGroup, group);
            lines.add("rule " + r.name() + ": when " + r.when() + " (boolean, cost at most " + bound + ")"
                    + (r.className() == null ? "" : ", class " + r.className())
                    + (r.tenant() == null ? "" : ", tenant " + r.tenant())
                    + (r.group() == null ? "" : ", group " + r.group() + " (string, cost at most " + group + ")"));
        }
        long total = table.bound(costs.cost()) + dearestGroup;
        costs.total("classify", total, section.place());
        explanation.add("classify: " + rules.size() + " rules, cost at most " + total + " a transaction");
        explanation.addAll("  ", table.plan());
        explanation.addAll("  ", lines);
    }
}
