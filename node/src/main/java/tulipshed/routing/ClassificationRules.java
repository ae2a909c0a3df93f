package tulipshed.routing;

import java.util.List;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Program;
import tulipshed.expression.RuleTable;

/** Ordered rules that assign a class, tenant or group to a request; the first rule whose condition holds applies. */
public final class ClassificationRules {
    private final RequestSchema schema;
    private final List<ClassificationRule> rules;
    private final RuleTable conditions;
    private final EvaluationFrame frame;

    /**
     * Creates rules over the attributes of a schema.
     *
     * @param conditions the conditions of the rules, in the order of the rules
     * @param program the complete program of the conditions and group expressions
     */
    public ClassificationRules(
            RequestSchema schema, List<ClassificationRule> rules, RuleTable conditions, Program program) {
        this.schema = schema;
        this.rules = List.copyOf(rules);
        this.conditions = conditions;
        frame = program.frame();
    }

    /** Returns the class, tenant and group of the request after the rules. */
    RequestClassification classify(RequestAttributes request) {
        ClassificationRule rule = firstMatch(request);
        if (rule == null) {
            return request.unclassified();
        }
        CharSequence group =
                rule.group() == null ? request.group() : rule.group().stringValue(frame);
        return new RequestClassification(
                rule.className() == null ? request.className() : rule.className(),
                rule.tenant() == null ? request.tenant() : rule.tenant(),
                group == null || group.length() == 0 ? null : group.toString());
    }

    /** Returns the name of the rule that applies to the request, null if none does. */
    String matchingRule(RequestAttributes request) {
        ClassificationRule rule = firstMatch(request);
        return rule == null ? null : rule.name();
    }

    /** Returns the rule that applies, null if none does; the attributes of the request remain in the frame. */
    private ClassificationRule firstMatch(RequestAttributes request) {
        schema.fill(frame, request);
        int index = conditions.first(frame);
        return index < 0 ? null : rules.get(index);
    }
}
