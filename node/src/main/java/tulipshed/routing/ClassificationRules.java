package tulipshed.routing;

import java.util.List;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Program;
import tulipshed.expression.RuleTable;

/** Ordered rules that give a transaction another class, tenant or group; of those that hold, the first counts. */
public final class ClassificationRules {
    private final RequestSchema schema;
    private final List<Rule> rules;
    private final RuleTable table;
    private final EvaluationFrame frame;

    /** What a rule gives; null leaves what was told. */
    public record Rule(String name, String className, String tenant, Program.Value group) {}

    /** The table holds the conditions of the rules, in their order; the program has been built. */
    public ClassificationRules(RequestSchema schema, List<Rule> rules, RuleTable table, Program program) {
        this.schema = schema;
        this.rules = List.copyOf(rules);
        this.table = table;
        frame = program.frame();
    }

    /** What the rules make of it. */
    RequestClassification classify(RequestAttributes s) {
        schema.fill(frame, s);
        int found = table.first(frame);
        if (found < 0) {
            return new RequestClassification(s.className(), s.tenant(), s.group());
        }
        Rule r = rules.get(found);
        CharSequence group = r.group() == null ? s.group() : r.group().stringValue(frame);
        return new RequestClassification(
                r.className() == null ? s.className() : r.className(),
                r.tenant() == null ? s.tenant() : r.tenant(),
                group == null || group.length() == 0 ? null : group.toString());
    }

    /** The rule that counts for it, or null. */
    String rule(RequestAttributes s) {
        schema.fill(frame, s);
        int found = table.first(frame);
        return found < 0 ? null : rules.get(found).name();
    }
}
