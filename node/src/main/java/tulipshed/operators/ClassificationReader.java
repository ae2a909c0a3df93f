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
import tulipshed.routing.ClassificationRule;
import tulipshed.routing.ClassificationRules;
import tulipshed.routing.RequestSchema;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** Reads {@code (classify (rule NAME (when EXPR) (class "C") (tenant "T") (group EXPR)) ...)}. */
final class ClassificationReader {
    private static final Set<String> FIELDS =
            SectionNames.ordered(FieldNames.WHEN, FieldNames.CLASS, FieldNames.TENANT, FieldNames.GROUP);

    private final RequestSchema schema;
    private final TypeChecker checker;
    private final ReaderContext context;
    private final Diagnostics diagnostics;

    /** A rule before its expressions are compiled; the class, tenant and group are null if it does not assign them. */
    private record ParsedRule(String name, Expression condition, String className, String tenant, Expression group) {}

    ClassificationReader(RequestSchema schema, TypeChecker checker, ReaderContext context) {
        this.schema = schema;
        this.checker = checker;
        this.context = context;
        this.diagnostics = context.diagnostics();
    }

    /** Returns the rules; null if one of them has errors, which are reported. */
    ClassificationRules read(Form.Sequence section) {
        int errorsBefore = diagnostics.count();
        List<ParsedRule> parsed = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Form form : section.items().subList(1, section.items().size())) {
            ParsedRule rule = parseRule(form, names);
            if (rule != null) {
                parsed.add(rule);
            }
        }
        if (diagnostics.count() > errorsBefore) {
            return null;
        }
        Program.Builder builder = new Program.Builder(schema.schema());
        RuleTable table =
                builder.table(parsed.stream().map(ParsedRule::condition).toList(), checker.interner());
        List<ClassificationRule> rules = new ArrayList<>();
        for (ParsedRule rule : parsed) {
            CompiledExpression group = rule.group() == null ? null : builder.value(rule.group());
            rules.add(new ClassificationRule(rule.name(), rule.className(), rule.tenant(), group));
        }
        Program program = builder.build();
        explain(section, parsed, table);
        return diagnostics.count() > errorsBefore ? null : new ClassificationRules(schema, rules, table, program);
    }

    private ParsedRule parseRule(Form form, Set<String> names) {
        if (!(form instanceof Form.Sequence rule)
                || !SectionNames.RULE.equals(rule.head())
                || rule.items().size() < 2) {
            diagnostics.add(form.place(), "expected (rule NAME (when EXPRESSION) ...), found " + form.describe());
            return null;
        }
        String name = FormValues.name(rule.items().get(1), diagnostics);
        if (name != null && !names.add(name)) {
            diagnostics.add(rule.place(), "another rule is called " + name + " already");
        }
        SectionFields fields = new SectionFields(rule, 2, FIELDS, diagnostics);
        Form when = fields.value(FieldNames.WHEN);
        Expression condition = when == null ? null : checker.check(when, Type.BOOLEAN);
        String className = fields.has(FieldNames.CLASS)
                ? fields.oneOf(FieldNames.CLASS, context.names().classNames())
                : null;
        String tenant = fields.has(FieldNames.TENANT)
                ? fields.oneOf(FieldNames.TENANT, context.names().tenantNames())
                : null;
        Form groupForm = fields.has(FieldNames.GROUP) ? fields.value(FieldNames.GROUP) : null;
        Expression group = groupForm == null ? null : checker.check(groupForm, Type.STRING);
        if (!fields.has(FieldNames.CLASS) && !fields.has(FieldNames.TENANT) && !fields.has(FieldNames.GROUP)) {
            diagnostics.add(rule.place(), "expected a class, a tenant or a group that the rule gives");
        }
        return name == null || condition == null || (groupForm != null && group == null)
                ? null
                : new ParsedRule(name, condition, className, tenant, group);
    }

    /** Adds the rules to the explanation and reports those whose cost may exceed the limit. */
    private void explain(Form.Sequence section, List<ParsedRule> rules, RuleTable table) {
        CostCheck costs = context.newCostCheck();
        List<String> lines = new ArrayList<>();
        long highestGroupBound = 0;
        for (ParsedRule rule : rules) {
            long bound = costs.check(rule.name(), rule.condition());
            long groupBound = rule.group() == null ? 0 : costs.check(rule.name(), rule.group());
            highestGroupBound = Math.max(highestGroupBound, groupBound);
            lines.add("rule " + rule.name() + ": when " + rule.condition() + " (boolean, cost at most " + bound + ")"
                    + (rule.className() == null ? "" : ", class " + rule.className())
                    + (rule.tenant() == null ? "" : ", tenant " + rule.tenant())
                    + (rule.group() == null
                            ? ""
                            : ", group " + rule.group() + " (string, cost at most " + groupBound + ")"));
        }
        long total = table.bound(costs.costModel()) + highestGroupBound;
        costs.checkTotal(SectionNames.CLASSIFY, total, section.place());
        Explanation explanation = context.explanation();
        explanation.add("classify: " + rules.size() + " rules, cost at most " + total + " a request");
        explanation.addAll("  ", table.plan());
        explanation.addAll("  ", lines);
    }
}
